/*
 * Leader lease and task lease, as in internal/control/lwreplica (LeaseEnd) and
 * internal/control/lwlease, in discrete time.
 *
 * Replica 0 leads at first and grants worker A a lease on a task. It may be cut
 * off at any moment, silently and either way, for any time; messages take any
 * number of ticks. Replicas 1 and 2 elect a new leader once both have been
 * without word of a leader for an election timeout. The new leader places the
 * task on worker B when it believes the lease of A to have ended.
 *
 * Checked: the task never runs on both workers.
 *
 * Seeded bugs, each to be found:
 *   BUG_STALE_GRANT   a leader grants without holding its own lease
 *   BUG_NO_WAIT       a new leader does not wait for leases it did not grant
 *   BUG_FROM_REPLY    an agent counts its lease from the answer, not the request
 *   BUG_VOTE_EARLY    a replica votes although it heard from a leader just now
 */

#ifndef E
#define E 3    /* election timeout, in ticks */
#endif
#define W 4    /* task lease, from when the agent asked */
#define S 1    /* the platform needs this long to stop a task */
#define D 5    /* longest delay that is tracked apart */

byte quiet[3] = 0;       /* ticks for which the replica refuses to vote */
byte age[3] = 0;         /* since the leader's last unanswered message, by replica */
bool flying[3] = false;  /* the message is under way to the replica */
bool back[3] = false;    /* its answer is under way */
byte held[3] = 0;        /* ticks for which the answer keeps the leader's lease */

bool asking = false;     /* a lease request of A is under way */
bool granted = false;    /* its answer is under way */
byte asked = 0;          /* ticks since A asked */
byte lease = 0;          /* ticks left to A */
byte stopping = 0;       /* ticks until A's task has ended */
bool runsA = true;

bool elected = false;
byte since = 0;          /* ticks since the new leader's election */
bool runsB = false;

#define HOLDS (held[1] > 0 || held[2] > 0)

#ifdef BUG_STALE_GRANT
#define MAYGRANT true
#else
#define MAYGRANT HOLDS
#endif

#ifdef BUG_NO_WAIT
#define MAYPLACE elected
#else
#define MAYPLACE (elected && since > W + S)
#endif

inline down(p_x) {
  if
  :: p_x > 0 -> p_x--
  :: else
  fi
}

inline up(p_y) {
  if
  :: p_y < D -> p_y++
  :: else
  fi
}

inline tick() {
  down(quiet[1]); down(quiet[2]);
  down(held[1]); down(held[2]);
  up(age[1]); up(age[2]); up(asked);
  if
  :: elected && since <= W + S -> since++
  :: else
  fi;
  if
  :: stopping > 0 ->
     stopping--;
     if
     :: stopping == 0 -> runsA = false
     :: else
     fi
  :: else
  fi;
  if
  :: lease > 0 ->
     lease--;
     if
     :: lease == 0 && runsA -> stopping = S
     :: else
     fi
  :: else
  fi
}

/* The lease that an answer received now gives. */
#ifdef BUG_FROM_REPLY
#define LEFT W
#else
#define LEFT (asked < W -> W - asked : 0)
#endif

#ifdef BUG_VOTE_EARLY
#define WILLVOTE true
#else
#define WILLVOTE (quiet[1] == 0 && quiet[2] == 0)
#endif

active proctype main() {
  lease = W;
  quiet[1] = E; quiet[2] = E;
  held[1] = E; held[2] = E;
  do
  :: atomic { tick() }
  /* heartbeats of the old leader */
  :: atomic { !flying[1] && !back[1] -> flying[1] = true; age[1] = 0 }
  :: atomic { !flying[2] && !back[2] -> flying[2] = true; age[2] = 0 }
  :: atomic { flying[1] -> flying[1] = false; if :: !elected -> quiet[1] = E; back[1] = true :: elected fi }
  :: atomic { flying[2] -> flying[2] = false; if :: !elected -> quiet[2] = E; back[2] = true :: elected fi }
  :: atomic { back[1] -> back[1] = false; if :: age[1] < E -> held[1] = E - age[1] :: else fi }
  :: atomic { back[2] -> back[2] = false; if :: age[2] < E -> held[2] = E - age[2] :: else fi }
  /* lost messages */
  :: atomic { flying[1] -> flying[1] = false }
  :: atomic { flying[2] -> flying[2] = false }
  :: atomic { back[1] -> back[1] = false }
  :: atomic { back[2] -> back[2] = false }
  /* worker A renews with the old leader */
  :: atomic { runsA && lease > 0 && !asking && !granted -> asking = true; asked = 0 }
  :: atomic { asking -> asking = false; if :: MAYGRANT -> granted = true :: else fi }
  :: atomic { granted -> granted = false; if :: runsA && lease > 0 && LEFT > lease -> lease = LEFT :: else fi }
  :: atomic { asking -> asking = false }
  :: atomic { granted -> granted = false }
  /* the others elect a leader, which places the task on worker B */
  :: atomic { !elected && WILLVOTE -> elected = true; since = 0 }
  :: atomic { MAYPLACE && !runsB -> runsB = true; assert(!runsA) }
  od
}
