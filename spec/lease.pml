/*
 * Model of the leader lease (LeaseEnd in internal/control/lwreplica) and the task
 * lease (internal/control/lwlease) in discrete time.
 *
 * Replica 0 leads at first and grants worker A a lease on a task. Any message may
 * be lost or take any number of ticks, so the leader may be partitioned from the
 * other replicas at any time, in either direction. Replicas 1 and 2 elect a new
 * leader once neither has received a message of the old one for an election
 * timeout, or when the old leader transfers its leadership: it then holds no lease,
 * and sends TimeoutNow, which may arrive at any later time and starts an election
 * that no replica refuses. A transfer may end at any time; the old leader then
 * leads on if it has not sent TimeoutNow, and steps down otherwise. The new leader
 * places the task on worker B once the lease of A must have expired.
 *
 * Checked: the task never runs on both workers.
 *
 * Seeded bugs, each of which the check must find:
 *   BUG_STALE_GRANT   a leader grants task leases without holding the leader lease
 *   BUG_NO_WAIT       a new leader does not wait for task leases it did not grant
 *   BUG_FROM_REPLY    an agent counts its lease from the answer, not the request
 *   BUG_VOTE_EARLY    a replica votes although it has just received a heartbeat
 *   BUG_LEAD_ON       a leader whose transfer ended leads on after TimeoutNow
 */

#ifndef ELECTION_TIMEOUT
#define ELECTION_TIMEOUT 3  /* in ticks, like all times here */
#endif
#define TASK_LEASE 4  /* counted from when the agent requested it */
#define STOP_TIME 1   /* time that the platform needs to stop a task */
#define MAX_AGE 5     /* ages saturate here; must exceed ELECTION_TIMEOUT and TASK_LEASE */

byte noVoteTicks[3] = 0;            /* ticks for which the replica will not vote */
byte heartbeatAge[3] = 0;           /* ticks since the old leader sent its latest heartbeat */
bool heartbeatInFlight[3] = false;  /* the heartbeat is on its way to the replica */
bool answerInFlight[3] = false;     /* its answer is on the way to the leader */
byte leaderLease[3] = 0;            /* ticks left of the leader lease by the replica's latest answer */

bool renewalInFlight = false;  /* a renewal request of A is on its way */
bool grantInFlight = false;    /* the answer to it is on its way */
byte renewalAge = 0;           /* ticks since A sent the request */
byte leaseA = 0;               /* ticks left of the lease of A */
byte stopTicksA = 0;           /* ticks until the task on A has been stopped */
bool runsOnA = true;

bool transferring = false;    /* the old leader transfers its leadership */
bool timeoutNowSent = false;  /* it has sent TimeoutNow in its term */
bool steppedDown = false;     /* it does not lead any more */

bool newLeader = false;
byte ticksSinceElection = 0;  /* saturates at TASK_LEASE + STOP_TIME + 1 */
bool runsOnB = false;

/* The leader and one other replica are a quorum of three. */
#define HOLDS_LEADER_LEASE (!transferring && !steppedDown && (leaderLease[1] > 0 || leaderLease[2] > 0))

#ifdef BUG_STALE_GRANT
#define MAY_GRANT true
#else
#define MAY_GRANT HOLDS_LEADER_LEASE
#endif

#ifdef BUG_NO_WAIT
#define MAY_PLACE newLeader
#else
#define MAY_PLACE (newLeader && ticksSinceElection > TASK_LEASE + STOP_TIME)
#endif

inline countDown(p_ticks) {
  if
  :: p_ticks > 0 -> p_ticks--
  :: else
  fi
}

inline countUp(p_age) {
  if
  :: p_age < MAX_AGE -> p_age++
  :: else
  fi
}

inline passOneTick() {
  countDown(noVoteTicks[1]); countDown(noVoteTicks[2]);
  countDown(leaderLease[1]); countDown(leaderLease[2]);
  countUp(heartbeatAge[1]); countUp(heartbeatAge[2]); countUp(renewalAge);
  if
  :: newLeader && ticksSinceElection <= TASK_LEASE + STOP_TIME -> ticksSinceElection++
  :: else
  fi;
  if
  :: stopTicksA > 0 ->
     stopTicksA--;
     if
     :: stopTicksA == 0 -> runsOnA = false
     :: else
     fi
  :: else
  fi;
  if
  :: leaseA > 0 ->
     leaseA--;
     if
     :: leaseA == 0 && runsOnA -> stopTicksA = STOP_TIME
     :: else
     fi
  :: else
  fi
}

/* Ticks of lease that a grant gives A if it arrives now. */
#ifdef BUG_FROM_REPLY
#define LEASE_FROM_GRANT TASK_LEASE
#else
#define LEASE_FROM_GRANT (renewalAge < TASK_LEASE -> TASK_LEASE - renewalAge : 0)
#endif

#ifdef BUG_VOTE_EARLY
#define MAY_ELECT true
#else
#define MAY_ELECT (noVoteTicks[1] == 0 && noVoteTicks[2] == 0)
#endif

#ifdef BUG_LEAD_ON
#define MUST_STEP_DOWN false
#else
#define MUST_STEP_DOWN timeoutNowSent
#endif

active proctype main() {
  leaseA = TASK_LEASE;
  noVoteTicks[1] = ELECTION_TIMEOUT; noVoteTicks[2] = ELECTION_TIMEOUT;
  leaderLease[1] = ELECTION_TIMEOUT; leaderLease[2] = ELECTION_TIMEOUT;
  do
  :: atomic { passOneTick() }
  /* heartbeats of the old leader */
  :: atomic { !heartbeatInFlight[1] && !answerInFlight[1] -> heartbeatInFlight[1] = true; heartbeatAge[1] = 0 }
  :: atomic { !heartbeatInFlight[2] && !answerInFlight[2] -> heartbeatInFlight[2] = true; heartbeatAge[2] = 0 }
  :: atomic { heartbeatInFlight[1] -> heartbeatInFlight[1] = false; if :: !newLeader -> noVoteTicks[1] = ELECTION_TIMEOUT; answerInFlight[1] = true :: newLeader fi }
  :: atomic { heartbeatInFlight[2] -> heartbeatInFlight[2] = false; if :: !newLeader -> noVoteTicks[2] = ELECTION_TIMEOUT; answerInFlight[2] = true :: newLeader fi }
  :: atomic { answerInFlight[1] -> answerInFlight[1] = false; if :: heartbeatAge[1] < ELECTION_TIMEOUT -> leaderLease[1] = ELECTION_TIMEOUT - heartbeatAge[1] :: else fi }
  :: atomic { answerInFlight[2] -> answerInFlight[2] = false; if :: heartbeatAge[2] < ELECTION_TIMEOUT -> leaderLease[2] = ELECTION_TIMEOUT - heartbeatAge[2] :: else fi }
  /* messages are lost */
  :: atomic { heartbeatInFlight[1] -> heartbeatInFlight[1] = false }
  :: atomic { heartbeatInFlight[2] -> heartbeatInFlight[2] = false }
  :: atomic { answerInFlight[1] -> answerInFlight[1] = false }
  :: atomic { answerInFlight[2] -> answerInFlight[2] = false }
  /* worker A renews its lease with the old leader */
  :: atomic { runsOnA && leaseA > 0 && !renewalInFlight && !grantInFlight -> renewalInFlight = true; renewalAge = 0 }
  :: atomic { renewalInFlight -> renewalInFlight = false; if :: MAY_GRANT -> grantInFlight = true :: else fi }
  :: atomic { grantInFlight -> grantInFlight = false; if :: runsOnA && leaseA > 0 && LEASE_FROM_GRANT > leaseA -> leaseA = LEASE_FROM_GRANT :: else fi }
  :: atomic { renewalInFlight -> renewalInFlight = false }
  :: atomic { grantInFlight -> grantInFlight = false }
  /* the old leader transfers its leadership */
  :: atomic { !transferring && !steppedDown -> transferring = true }
  :: atomic { transferring && !timeoutNowSent -> timeoutNowSent = true }
  :: atomic { transferring -> transferring = false; steppedDown = MUST_STEP_DOWN }
  :: atomic { timeoutNowSent && !newLeader -> newLeader = true; ticksSinceElection = 0 }
  /* the other replicas elect a leader, which places the task on worker B */
  :: atomic { !newLeader && MAY_ELECT -> newLeader = true; ticksSinceElection = 0 }
  :: atomic { MAY_PLACE && !runsOnB -> runsOnB = true; assert(!runsOnA) }
  od
}
