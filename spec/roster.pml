/*
 * Model of the roster: one long-running task under successive leaders that do not
 * record starts. A worker runs the task while its lease lasts. A new leader waits
 * for the workers on the replicated roster, as they may still run the task.
 *
 * Time is abstract: a lease granted by the current leader is FRESH, one granted by
 * an earlier leader is STALE. A leader takes workers that have not reported off
 * the roster after a time in which all stale leases have ended.
 *
 * With PLACES, the worker that is to run the task is recorded in the replicated
 * log before the start is ordered, and a new leader waits for that worker only.
 *
 * Checked: the task never runs on both workers.
 *
 * Seeded bugs, each of which the check must find:
 *   BUG_DISMISS_REPORTED    a worker that has reported, but whose task lists were
 *                           not read, is taken off the roster as if it had not
 *                           reported
 *   BUG_NO_WAIT             a new leader does not wait for the workers on the
 *                           roster
 *   BUG_START_BEFORE_ENROL  a worker is assigned the task before it is on the roster
 *   BUG_KEEP_TOKEN          lists are read without raising the worker's token, so a
 *                           start with an older token may still follow
 *   BUG_PLACE_AFTER_START   (PLACES) the place is recorded after the start was
 *                           ordered
 */
#define MAXINCARNATION 2
/* Fencing token of the starts for an incarnation of a worker under this leader. */
#define TOKEN(w) (term * 4 + incarnation[w])

#ifndef MAXTERM
#define MAXTERM 3
#endif
#define WORKERS 2
#define NONE WORKERS

mtype = { ENDED, STALE, FRESH, ENROL, DISMISS, NO_CHANGE }

/* The workers. */
mtype lease[WORKERS] = ENDED;
byte token[WORKERS];       /* highest token that the worker has received */
bool running[WORKERS];
byte startToken[WORKERS];  /* token of the start order that is in flight; 0 for none */

/* The replicated state. */
bool roster[WORKERS];
byte recordedPlace = NONE;

/* The state that a leader keeps in memory only. */
byte term = 1;
byte incarnation[WORKERS];                /* raised when the leader gives the worker up */
bool reported[WORKERS];                   /* the worker has reported to this leader */
bool listsRead[WORKERS];                  /* its lists were read under its current token */
bool enrolled[WORKERS];                   /* this leader has put it on the roster, so it may be assigned the task */
bool awaited[WORKERS];                    /* on the roster when the term began, neither dismissed nor its lists read since */
mtype rosterChange[WORKERS] = NO_CHANGE;  /* proposed, not applied yet */
byte assigned = NONE;                     /* worker that runs the task, as far as the leader knows */
byte proposedPlace = NONE;                /* proposed, not recorded yet */

#ifdef BUG_NO_WAIT
#define MAY_START true
#elif defined(PLACES)
#define MAY_START (term == 1 || recordedPlace == NONE || !awaited[recordedPlace])
#else
#define MAY_START (term == 1 || (!awaited[0] && !awaited[1]))
#endif

inline become_leader() {
  term++;
  assigned = NONE;
  proposedPlace = NONE;
  for (i : 0 .. WORKERS - 1) {
    incarnation[i] = 0;
    reported[i] = false;
    listsRead[i] = false;
    enrolled[i] = false;
    rosterChange[i] = NO_CHANGE;
    awaited[i] = roster[i];
    if
    :: lease[i] == FRESH -> lease[i] = STALE
    :: else
    fi
  }
}

/* A start order carries the end of the worker's lease and is refused after it. */
inline order_start(w) {
  if
  :: lease[w] != ENDED -> startToken[w] = TOKEN(w)
  :: else
  fi
}

inline assign_task(w) {
#if !defined(PLACES) || defined(BUG_PLACE_AFTER_START)
  order_start(w);
#endif
  proposedPlace = w
}

inline give_up_worker(w) {
  incarnation[w]++;
  reported[w] = false;
  listsRead[w] = false;
  enrolled[w] = false;
  awaited[w] = false;
  rosterChange[w] = DISMISS;
  if
  :: assigned == w -> assigned = NONE
  :: else
  fi
}

active proctype main() {
  byte i, w;
  do
  :: atomic { term < MAXTERM -> become_leader() }
  :: atomic { proposedPlace != NONE ->
       recordedPlace = proposedPlace;
#if defined(PLACES) && !defined(BUG_PLACE_AFTER_START)
       if
       :: assigned == proposedPlace -> order_start(proposedPlace)
       :: else
       fi;
#endif
       proposedPlace = NONE
     }
  :: atomic {
       if
       :: w = 0
       :: w = 1
       fi;
       if
       /* A report renews the lease, also one that an earlier leader granted. */
       :: !reported[w] -> reported[w] = true; rosterChange[w] = ENROL; lease[w] = FRESH
       :: reported[w] -> lease[w] = FRESH
       /* The worker raises its token when its lists are read, so that no start with
          an older one can follow. */
       :: reported[w] && !listsRead[w] ->
#ifndef BUG_KEEP_TOKEN
            token[w] = TOKEN(w);
#endif
            listsRead[w] = true;
            awaited[w] = false;
            if
            :: running[w] && assigned == NONE -> assigned = w
            :: else
            fi
       /* A roster change is committed and applied. */
       :: rosterChange[w] == ENROL -> roster[w] = true; enrolled[w] = reported[w]; rosterChange[w] = NO_CHANGE
       :: rosterChange[w] == DISMISS -> roster[w] = false; rosterChange[w] = NO_CHANGE
       /* A lease expires, which stops the task and voids a start in flight. */
       :: lease[w] != ENDED -> lease[w] = ENDED; running[w] = false; startToken[w] = 0
       :: reported[w] && lease[w] == ENDED && incarnation[w] < MAXINCARNATION -> give_up_worker(w)
#ifdef BUG_DISMISS_REPORTED
       :: awaited[w] && lease[w] != STALE -> awaited[w] = false; rosterChange[w] = DISMISS
#else
       :: awaited[w] && !reported[w] && lease[w] != STALE -> awaited[w] = false; rosterChange[w] = DISMISS
#endif
#ifdef BUG_START_BEFORE_ENROL
       :: reported[w] && listsRead[w] && assigned == NONE && proposedPlace == NONE && MAY_START ->
#else
       :: reported[w] && listsRead[w] && enrolled[w] && assigned == NONE && proposedPlace == NONE && MAY_START ->
#endif
            assigned = w;
            assign_task(w)
       /* A start order arrives, possibly late, or is lost. */
       :: startToken[w] != 0 ->
            if
            :: startToken[w] >= token[w] && lease[w] != ENDED -> running[w] = true; token[w] = startToken[w]
            :: else
            fi;
            startToken[w] = 0
       :: startToken[w] != 0 -> startToken[w] = 0
       :: running[w] -> running[w] = false
       /* The worker's lists show that the run has ended or was refused. */
       :: assigned == w && listsRead[w] && startToken[w] == 0 && !running[w] && proposedPlace != w -> assigned = NONE
       :: else
       fi;
       assert(!(running[0] && running[1]))
     }
  od
}
