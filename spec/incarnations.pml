/*
 * Model of what ends a worker incarnation: two machines with an agent and a worker
 * each, one task, a leader and the next one. Incarnations of the worker on a machine
 * follow one another, and nothing runs on one at first:
 *   0  on machine 0 at first
 *   1  on machine 1 at first
 *   2  the next one on machine 0, with the id of 0 or another one (ID2)
 *   3  the next one on machine 1, with the id of 0 or another one (ID3)
 * The number is also the order of their start times.
 *
 * An agent hears announcements of any incarnation at any time, also of one that has
 * not begun, has ended or is on the other machine. The incarnation that is up answers
 * its agent at any time, or does not. To its agent one that is silent is as one that has
 * ended, so an end is modelled together with the start of the next one. A report is handled
 * at once or, if LATE, by whichever leader there is at any later time, also after later ones.
 *
 * Time is abstract: a lease granted by the current leader is FRESH, one granted by an
 * earlier leader is STALE. It ends on the worker, which stops its run, before it ends
 * as the leader counts. Orders of an earlier leader are void once the lists have been
 * read, as roster.pml checks.
 *
 * Each of these changes what is searched:
 *   NEXT0, NEXT1  only one worker starts again, that on machine 0 or 1
 *   LATE=1, 2     reports of agent 0, or of both, may be late
 *   OLD_AGENTS    the agents are of an older version: they adopt what is announced, report
 *                 the end of what never answered, and do not say what has answered
 *
 * Under a change of the leader the search is completed for each of NEXT0 and NEXT1 only,
 * and without one for both.
 *
 * Checked: the task never runs on two incarnations that are up.
 *
 * Seeded bugs, each of which the check must find:
 *   BUG_ADOPT_ANNOUNCED      an agent takes an announcement of a later incarnation for
 *                            its answer
 *   BUG_FIRST_ANSWERED       an agent that serves none takes its first announcement
 *                            for an answer
 *   BUG_REPLACE_UNANSWERED   a later incarnation of the same agent replaces a known one
 *                            without having answered
 *   BUG_DISMISS_UNANSWERED   a later incarnation of the same agent replaces an awaited
 *                            one without having answered
 *   BUG_REPLACE_SAME_ID      a later incarnation with the same id replaces one that
 *                            another agent serves
 *   BUG_MOVE                 a report by another agent moves a known incarnation to it
 *   BUG_ENDED_BY_OTHER       a report by another agent, which the incarnation has never
 *                            answered, ends it
 *   BUG_REFUSED_ENDS         refused connections or a deregistration end one
 *   BUG_END_UNANSWERED       an agent reports the end of an incarnation that has never
 *                            answered it, since another one answers
 *   BUG_OLD_ENDS             (OLD_AGENTS) the leader takes an end from an agent that does
 *                            not say that the incarnation has answered it
 *
 * Each of these asserts that something cannot happen that must, and has to be found:
 *   REACH_SUCCESSOR  the task runs again because a later incarnation has answered,
 *                    before the lease of its worker has ended
 *   REACH_ENDED      the same, because another incarnation has answered in its place
 *   REACH_AWAITED    the same under the next leader, which awaited the worker
 *   REACH_LEASE      the same, because its lease has ended, without any answer
 */
#ifndef ID2
#define ID2 0
#endif
#ifndef ID3
#define ID3 0
#endif
#ifndef MAXTERM
#define MAXTERM 2
#endif
#define INCARNATIONS 4
#ifdef NEXT0
#define EXISTS(i) ((i) == 2)
#elif defined(NEXT1)
#define EXISTS(i) ((i) == 3)
#else
#define EXISTS(i) true
#endif
#define NONE INCARNATIONS
#define HOME(i) ((i) % 2)
#define ID(i) ((i) == 2 -> ID2 : ((i) == 3 -> ID3 : (i)))

mtype = { ENDED, STALE, FRESH }
mtype = { BY_SUCCESSOR, BY_END, BY_AWAITED, BY_LEASE }

/* The workers. */
byte up[2];                          /* incarnation on each machine */
bool running[2];                     /* it runs the task */
mtype lease[INCARNATIONS] = ENDED;
bool ordered[INCARNATIONS];          /* a start is on its way */

/* The agents. */
byte served[2] = NONE;
bool answered[2];                    /* the served incarnation has answered this agent */
bool replaced[2];                    /* another incarnation has answered in its place */

/* A report that is handled late. */
typedef Report { byte incarnation; bool answered; bool ended }
Report late[2];

/* The replicated state. */
bool roster[INCARNATIONS];

/* The leader. */
byte term = 1;
bool known[INCARNATIONS];            /* it has reported to this leader */
bool listsRead[INCARNATIONS];
bool awaited[INCARNATIONS];          /* on the roster when the term began, lists not read since */
byte by[INCARNATIONS];               /* its agent, if known or on the roster */
byte assigned = NONE;                /* incarnation that runs the task, as far as the leader knows */

#ifdef BUG_REPLACE_UNANSWERED
#define REPLACES_KNOWN true
#else
#define REPLACES_KNOWN ans
#endif
#ifdef BUG_DISMISS_UNANSWERED
#define REPLACES_AWAITED true
#else
#define REPLACES_AWAITED ans
#endif
#ifdef BUG_ENDED_BY_OTHER
#define MAY_END (ans || i % 2 != a)
#define SEES_END(a) (answered[a] || served[a] % 2 != a)
#elif defined(BUG_END_UNANSWERED)
#define MAY_END (by[i] == a && ans)
#define SEES_END(a) true
#elif defined(BUG_OLD_ENDS)
#define MAY_END (by[i] == a)
#define SEES_END(a) (OLD(a) || answered[a])
#else
#define MAY_END (by[i] == a && ans)
#define SEES_END(a) (OLD(a) || answered[a])
#endif
#ifdef OLD_AGENTS
#define OLD(a) true
#define ANSWERED false
#else
#define OLD(a) false
#define ANSWERED true
#endif
#ifdef BUG_FIRST_ANSWERED
#define FIRST_ANSWERS true
#else
#define FIRST_ANSWERS false
#endif

#if defined(REACH_SUCCESSOR) || defined(REACH_ENDED) || defined(REACH_AWAITED) || defined(REACH_LEASE)
mtype releasedBy = 0;  /* why the run was released, if its worker has ended */
byte ranOn = NONE;     /* incarnation on which the task has run */
#ifdef REACH_SUCCESSOR
#define CAUSE BY_SUCCESSOR
#elif defined(REACH_ENDED)
#define CAUSE BY_END
#elif defined(REACH_AWAITED)
#define CAUSE BY_AWAITED
#else
#define CAUSE BY_LEASE
#endif
#endif

inline forget(i) {
  known[i] = false;
  listsRead[i] = false;
  awaited[i] = false;
  roster[i] = false;
  by[i] = 0
}

/* The leader releases what runs on an incarnation, as far as it knows. */
inline remove(i, cause) {
#ifdef CAUSE
  if
  :: ranOn == i && up[HOME(i)] != i && (lease[i] == ENDED) == (cause == BY_LEASE) ->
       releasedBy = (awaited[i] && cause != BY_LEASE -> BY_AWAITED : cause)
  :: else
  fi;
#endif
  if
  :: assigned == i -> assigned = NONE
  :: else
  fi;
  forget(i)
}

/* The leader handles a report of agent a about incarnation i. */
inline handle_report() {
  if
  :: end ->
       if
       :: (known[i] || awaited[i]) && MAY_END -> remove(i, BY_END)
       :: else
       fi
  :: !end && (known[i] || awaited[i]) && by[i] != a ->
#ifdef BUG_MOVE
       by[i] = a
#else
       skip
#endif
  :: !end && known[i] && by[i] == a -> lease[i] = FRESH
  :: !end && !known[i] && (!awaited[i] || by[i] == a) ->
       adds = true;
       for (j : 0 .. INCARNATIONS - 1) {
         if
         :: j > i && known[j] && (by[j] == a || ID(j) == ID(i)) -> adds = false
         :: j < i && (known[j] || awaited[j]) && by[j] == a ->
              adds = adds && (known[j] -> REPLACES_KNOWN : REPLACES_AWAITED)
#ifndef BUG_REPLACE_SAME_ID
         :: j < i && (known[j] || awaited[j]) && by[j] != a && ID(j) == ID(i) -> adds = false
#endif
         :: else
         fi
       }
       if
       :: adds ->
            for (j : 0 .. i - 1) {
              if
              :: j != i && (known[j] || awaited[j]) && (by[j] == a || ID(j) == ID(i)) -> remove(j, BY_SUCCESSOR)
              :: else
              fi
            }
            known[i] = true;
            by[i] = a;
            lease[i] = FRESH
       :: else
       fi;
       adds = false
  fi;
  i = 0;
  j = 0;
  ans = false;
  end = false;
  handles = false
}

inline become_leader() {
  term++;
  assigned = NONE;
  for (j : 0 .. INCARNATIONS - 1) {
    known[j] = false;
    listsRead[j] = false;
    awaited[j] = roster[j];
    if
    :: !roster[j] -> by[j] = 0
    :: else
    fi;
    roster[j] = roster[j] && term < MAXTERM;
    if
    :: lease[j] == FRESH -> lease[j] = STALE
    :: else
    fi
  }
  j = 0
}

#define MAY_START (!awaited[0] && !awaited[1] && !awaited[2] && !awaited[3])

active proctype main() {
  byte i, j, a;
  bool adds, ans, end, handles;
  up[0] = 0;
  up[1] = 1;
  late[0].incarnation = NONE;
  late[1].incarnation = NONE;
  do
  :: atomic { term < MAXTERM -> become_leader() }
  :: atomic {
       if
       :: a = 0
       :: a = 1
       fi;
       if
       /* The worker. */
       :: up[a] == a && EXISTS(a + 2) -> up[a] = a + 2; running[a] = false
       :: running[a] -> running[a] = false

       /* The agent. */
       :: served[a] != NONE -> served[a] = NONE; answered[a] = false; replaced[a] = false /* restart */
       :: served[a] == NONE ->
            if
            :: served[a] = 0
            :: served[a] = 1
            :: EXISTS(2) -> served[a] = 2
            :: EXISTS(3) -> served[a] = 3
            fi;
            answered[a] = FIRST_ANSWERS
       :: served[a] == up[a] -> answered[a] = ANSWERED
       :: served[a] != NONE && served[a] != up[a] && SEES_END(a) -> replaced[a] = true
       :: served[a] != up[a] -> served[a] = up[a]; answered[a] = ANSWERED; replaced[a] = false
#if defined(BUG_ADOPT_ANNOUNCED) || defined(OLD_AGENTS)
       :: served[a] < 2 && EXISTS(served[a] + 2) -> served[a] = served[a] + 2; answered[a] = ANSWERED; replaced[a] = false
#endif
#ifdef BUG_REFUSED_ENDS
       :: served[a] != NONE -> replaced[a] = true
#endif
       :: served[a] != NONE -> i = served[a]; ans = answered[a]; end = replaced[a]; handles = true
#ifdef LATE
       :: a < LATE && served[a] != NONE && late[a].incarnation == NONE ->
            late[a].incarnation = served[a];
            late[a].answered = answered[a];
            late[a].ended = replaced[a]
       :: a < LATE && late[a].incarnation != NONE ->
            i = late[a].incarnation;
            ans = late[a].answered;
            end = late[a].ended;
            late[a].incarnation = NONE;
            late[a].answered = false;
            late[a].ended = false;
            handles = true
#endif

       /* The incarnation that is up and its agent, which serves it. */
       :: served[a] == up[a] && known[up[a]] && by[up[a]] == a && !listsRead[up[a]] ->
            i = up[a];
            answered[a] = ANSWERED;
            listsRead[i] = true;
            awaited[i] = false;
            ordered[i] = false;
            if
            :: running[a] && assigned == NONE -> assigned = i
            :: else
            fi;
            i = 0
       :: ordered[up[a]] -> ordered[up[a]] = false; running[a] = true;
#ifdef CAUSE
            assert(releasedBy != CAUSE || ranOn == up[a]);
            ranOn = up[a]
#endif
       :: else
       fi;
       if
       :: handles -> handle_report()
       :: else
       fi;
       a = 0;
       assert(!(running[0] && running[1]))
     }
  :: atomic {
       if
       :: i = 0
       :: i = 1
       :: i = 2
       :: i = 3
       fi;
       if
       :: lease[i] != ENDED ->
            lease[i] = ENDED;
            ordered[i] = false;
            if
            :: up[HOME(i)] == i -> running[HOME(i)] = false
            :: else
            fi
       :: known[i] && lease[i] == ENDED || awaited[i] && !known[i] && lease[i] != STALE -> remove(i, BY_LEASE)
       :: known[i] && !roster[i] && term < MAXTERM -> roster[i] = true
       :: known[i] && listsRead[i] && (roster[i] || term == MAXTERM) && assigned == NONE && MAY_START ->
            assigned = i;
            ordered[i] = (by[i] == HOME(i) && lease[i] != ENDED)
       :: assigned == i && by[i] == HOME(i) && lease[i] != ENDED -> ordered[i] = true /* sent again */
       :: else
       fi;
       i = 0
     }
  od
}
