/*
 * One long-running task under successive leaders that do not record starts. A
 * worker runs it while its lease lasts; a leader that begins waits for the
 * workers that the replicated roster names. The task must never run twice at a
 * time.
 *
 * Time is abstracted: a lease granted by the present leader is FRESH, one from a
 * leader before it is STALE. A leader's timer for workers that have not
 * reported fires only once no stale lease is left.
 *
 * PLACES: the worker that the task is given to is recorded before its start is
 * ordered, and a new leader waits for that one only.
 *
 * Checked: the task never runs on both workers.
 *
 * Seeded bugs, each to be found:
 *   BUG_DISMISS_REPORTED    a worker that has reported, but not shown its lists, is
 *                           taken off the roster as never heard of
 *   BUG_NO_WAIT             a new leader does not wait for the roster
 *   BUG_START_BEFORE_ENROL  a worker is given the task before the roster names it
 *   BUG_KEEP_TOKEN          lists count though older starts may still follow
 *   BUG_PLACE_AFTER_START   (PLACES) the place is recorded once the start is ordered
 */
#define MAXRETURNS 2
#define TOKEN(w) (term * 4 + returns[w])

#ifndef MAXTERM
#define MAXTERM 3
#endif
#define WORKERS 2
#define NONE WORKERS

mtype = { ENDED, STALE, FRESH, ENROL, DISMISS, SETTLED }

/* The workers. */
mtype lease[WORKERS] = ENDED;
byte token[WORKERS];          /* highest term seen */
bool runs[WORKERS];
byte order[WORKERS];          /* token of a start that is under way; 0: none */

/* The replicated record. */
bool roster[WORKERS];
byte place = NONE;

/* The leader's memory. */
byte term = 1;
byte returns[WORKERS];        /* times that the worker was given up and came back */
bool known[WORKERS];          /* has reported */
bool current[WORKERS];        /* its lists were read under this term's token */
bool enrolled[WORKERS];       /* may be given the task */
bool missing[WORKERS];        /* on the roster, lists not read yet */
mtype change[WORKERS] = SETTLED; /* proposed about the roster */
byte given = NONE;            /* where the task may run, as far as the leader knows */
byte placing = NONE;          /* place that is proposed */

#ifdef BUG_NO_WAIT
#define MAY_START true
#elif defined(PLACES)
#define MAY_START (term == 1 || place == NONE || !missing[place])
#else
#define MAY_START (term == 1 || (!missing[0] && !missing[1]))
#endif

inline begin_term() {
  term++;
  given = NONE;
  placing = NONE;
  for (i : 0 .. WORKERS - 1) {
    returns[i] = 0;
    known[i] = false;
    current[i] = false;
    enrolled[i] = false;
    change[i] = SETTLED;
    missing[i] = roster[i];
    if
    :: lease[i] == FRESH -> lease[i] = STALE
    :: else
    fi
  }
}

/* A start carries the end of the worker's lease, after which it is refused. */
inline order_start(w) {
  if
  :: lease[w] != ENDED -> order[w] = TOKEN(w)
  :: else
  fi
}

inline send_start(w) {
#if !defined(PLACES) || defined(BUG_PLACE_AFTER_START)
  order_start(w);
#endif
  placing = w
}

inline give_up(w) {
  returns[w]++;
  known[w] = false;
  current[w] = false;
  enrolled[w] = false;
  missing[w] = false;
  change[w] = DISMISS;
  if
  :: given == w -> given = NONE
  :: else
  fi
}

active proctype system() {
  byte i, w;
  do
  :: atomic { term < MAXTERM -> begin_term() }
  :: atomic { placing != NONE ->
       place = placing;
#if defined(PLACES) && !defined(BUG_PLACE_AFTER_START)
       if
       :: given == placing -> order_start(placing)
       :: else
       fi;
#endif
       placing = NONE
     }
  :: atomic {
       if
       :: w = 0
       :: w = 1
       fi;
       if
       /* A report renews the lease, whoever granted it before. */
       :: !known[w] -> known[w] = true; change[w] = ENROL; lease[w] = FRESH
       :: known[w] -> lease[w] = FRESH
       /* Lists read under the new token: no older start can follow. */
       :: known[w] && !current[w] ->
#ifndef BUG_KEEP_TOKEN
            token[w] = TOKEN(w);
#endif
            current[w] = true;
            missing[w] = false;
            if
            :: runs[w] && given == NONE -> given = w
            :: else
            fi
       /* Proposals about the roster are applied one at a time. */
       :: change[w] == ENROL -> roster[w] = true; enrolled[w] = known[w]; change[w] = SETTLED
       :: change[w] == DISMISS -> roster[w] = false; change[w] = SETTLED
       /* Leases end unless they are renewed. */
       :: lease[w] != ENDED -> lease[w] = ENDED; runs[w] = false; order[w] = 0
       :: known[w] && lease[w] == ENDED && returns[w] < MAXRETURNS -> give_up(w)
#ifdef BUG_DISMISS_REPORTED
       :: missing[w] && lease[w] != STALE -> missing[w] = false; change[w] = DISMISS
#else
       :: missing[w] && !known[w] && lease[w] != STALE -> missing[w] = false; change[w] = DISMISS
#endif
#ifdef BUG_START_BEFORE_ENROL
       :: known[w] && current[w] && given == NONE && placing == NONE && MAY_START ->
#else
       :: known[w] && current[w] && enrolled[w] && given == NONE && placing == NONE && MAY_START ->
#endif
            given = w;
            send_start(w)
       /* Starts come late or never. */
       :: order[w] != 0 ->
            if
            :: order[w] >= token[w] && lease[w] != ENDED -> runs[w] = true; token[w] = order[w]
            :: else
            fi;
            order[w] = 0
       :: order[w] != 0 -> order[w] = 0
       :: runs[w] -> runs[w] = false
       /* The worker lists the end, or the refusal. */
       :: given == w && current[w] && order[w] == 0 && !runs[w] && placing != w -> given = NONE
       :: else
       fi;
       assert(!(runs[0] && runs[1]))
     }
  od
}
