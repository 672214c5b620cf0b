/*
 * Model of the replicated log in internal/control/lwreplica for four replicas:
 * election, replication, commit, membership change and loss of a disk.
 *
 * A request and its response are one step; a lost request is a step not taken.
 * Lost and late responses are covered, because a replica keeps the votes and match
 * indexes that it has received until its term ends and need not act on them.
 *
 * An entry is a term and a membership with one bit for each voter. The entry at
 * index 0 holds the first membership {0,1,2}; replica 3 is not a member at first.
 *
 * The command line sets the bounds MAXTERM (last term), MAXCHANGES (membership
 * changes) and MAXLOSSES (lost disks).
 *
 * Checked: there is at most one leader in a term, a committed entry is in the log
 * of every later leader, and it is never replaced.
 *
 * Seeded bugs, each of which the check must find:
 *   BUG_VOTE_ANY_LOG      a replica votes without comparing the logs
 *   BUG_COMMIT_OLD_TERM   a leader commits an entry of an earlier term because a
 *                         quorum holds it
 *   BUG_AMNESIA           a replica that lost its disk keeps its ID
 *   BUG_TWO_CHANGES       a leader changes the membership before the previous
 *                         change is committed
 *   BUG_CHANGE_BEFORE_OWN a leader changes the membership before it has committed
 *                         an entry of its own term
 */

#define N       4
#ifndef MAXTERM
#define MAXTERM 3
#endif
#define MAXLOG  3  /* last index that a log may reach */
#define LOGSIZE 4

typedef Replica {
  byte term;
  byte votedFor;       /* 1 + replica; 0 for none */
  bool isLeader;
  byte votes;          /* a bit for each replica that voted for it in this term */
  byte lastIndex;      /* last index of the log */
  byte entryTerm[LOGSIZE];
  byte entryVoters[LOGSIZE];
  byte matchIndex[N];  /* of a leader: last index at which each log equals its own */
  byte commitIndex;
};

Replica r[N];

/* State of the check only: the committed entries by index; term 0 is none. */
byte committedTerm[LOGSIZE];
byte committedVoters[LOGSIZE];
byte committedInTerm[LOGSIZE];   /* term of the leader that first committed it */
byte leaderOfTerm[MAXTERM + 1];  /* 1 + replica; 0 for none */
byte diskLosses;
byte membershipChanges;

#define BIT(i)          (1 << (i))
#define VOTERS(i)       (r[i].entryVoters[r[i].lastIndex])
#define HAS_BIT(m, i)   (((m) >> (i)) & 1)
#define COUNT_BITS(m)   (HAS_BIT(m,0) + HAS_BIT(m,1) + HAS_BIT(m,2) + HAS_BIT(m,3))
#define IS_QUORUM(m, s) (2 * COUNT_BITS((m) & (s)) > COUNT_BITS(m))
#define LAST_TERM(i)    (r[i].entryTerm[r[i].lastIndex])

#ifdef BUG_VOTE_ANY_LOG
#define UP_TO_DATE(c, v) true
#else
#define UP_TO_DATE(c, v) (LAST_TERM(c) > LAST_TERM(v) || (LAST_TERM(c) == LAST_TERM(v) && r[c].lastIndex >= r[v].lastIndex))
#endif

inline clearMatchIndex(p_i) {
  r[p_i].matchIndex[0] = 0; r[p_i].matchIndex[1] = 0; r[p_i].matchIndex[2] = 0; r[p_i].matchIndex[3] = 0;
}

inline enterTerm(p_i, p_term) {
  r[p_i].term = p_term; r[p_i].votedFor = 0; r[p_i].isLeader = false; r[p_i].votes = 0;
  clearMatchIndex(p_i);
}

/* p_i becomes a candidate in the next term. */
inline startElection(p_i) {
  enterTerm(p_i, r[p_i].term + 1);
  r[p_i].votedFor = 1 + p_i;
  r[p_i].votes = BIT(p_i);
}

/* The voter answers a vote request of the candidate. */
inline requestVote(p_candidate, p_voter) {
  if
  :: r[p_candidate].term > r[p_voter].term -> enterTerm(p_voter, r[p_candidate].term)
  :: else
  fi;
  if
  :: r[p_voter].term == r[p_candidate].term && (r[p_voter].votedFor == 0 || r[p_voter].votedFor == 1 + p_candidate) && UP_TO_DATE(p_candidate, p_voter) ->
     r[p_voter].votedFor = 1 + p_candidate;
     r[p_candidate].votes = r[p_candidate].votes | BIT(p_voter)
  :: else
  fi
}

inline becomeLeader(p_i) {
  assert(leaderOfTerm[r[p_i].term] == 0 || leaderOfTerm[r[p_i].term] == 1 + p_i);
  leaderOfTerm[r[p_i].term] = 1 + p_i;
  k = 0;
  do
  :: k < LOGSIZE ->
     /* the log holds every entry that a leader of an earlier term committed */
     assert(committedTerm[k] == 0 || committedInTerm[k] >= r[p_i].term || (k <= r[p_i].lastIndex && r[p_i].entryTerm[k] == committedTerm[k] && r[p_i].entryVoters[k] == committedVoters[k]));
     k++
  :: else -> break
  od;
  r[p_i].isLeader = true;
  clearMatchIndex(p_i);
  r[p_i].matchIndex[p_i] = r[p_i].lastIndex;
  k = 0
}

inline appendEntry(p_i, p_voters) {
  /* Inline arguments are substituted as text, so they are read before lastIndex
     changes. */
  r[p_i].entryVoters[r[p_i].lastIndex + 1] = p_voters;
  r[p_i].entryTerm[r[p_i].lastIndex + 1] = r[p_i].term;
  r[p_i].lastIndex++;
  r[p_i].matchIndex[p_i] = r[p_i].lastIndex
}

/* The follower takes over the first entry at which its log differs from the
   leader's, and drops its own entries from there on. */
inline replicate(p_leader, p_follower) {
  if
  :: r[p_leader].term > r[p_follower].term -> enterTerm(p_follower, r[p_leader].term)
  :: else
  fi;
  if
  :: r[p_leader].term == r[p_follower].term && !r[p_follower].isLeader ->
     r[p_follower].votes = 0;
     k = 1;  /* first index at which the logs differ or one ends */
     do
     :: k <= r[p_leader].lastIndex && k <= r[p_follower].lastIndex && r[p_leader].entryTerm[k] == r[p_follower].entryTerm[k] -> k++
     :: else -> break
     od;
     if
     :: k <= r[p_leader].lastIndex ->
        if
        :: k <= r[p_follower].lastIndex ->
           /* cut off the entries that conflict with the leader's */
           do
           :: r[p_follower].lastIndex >= k -> r[p_follower].entryTerm[r[p_follower].lastIndex] = 0; r[p_follower].entryVoters[r[p_follower].lastIndex] = 0; r[p_follower].lastIndex--
           :: else -> break
           od
        :: else
        fi;
        r[p_follower].entryTerm[k] = r[p_leader].entryTerm[k];
        r[p_follower].entryVoters[k] = r[p_leader].entryVoters[k];
        r[p_follower].lastIndex = k;
        r[p_leader].matchIndex[p_follower] = k
     :: else -> r[p_leader].matchIndex[p_follower] = r[p_leader].lastIndex
     fi;
     k = 0
  :: else
  fi
}

/* The leader commits up to p_i if a quorum holds that entry. */
inline commitTo(p_leader, p_i) {
  k = 0;
  if
  :: HAS_BIT(VOTERS(p_leader), 0) && r[p_leader].matchIndex[0] >= p_i -> k = k | 1 :: else
  fi;
  if
  :: HAS_BIT(VOTERS(p_leader), 1) && r[p_leader].matchIndex[1] >= p_i -> k = k | 2 :: else
  fi;
  if
  :: HAS_BIT(VOTERS(p_leader), 2) && r[p_leader].matchIndex[2] >= p_i -> k = k | 4 :: else
  fi;
  if
  :: HAS_BIT(VOTERS(p_leader), 3) && r[p_leader].matchIndex[3] >= p_i -> k = k | 8 :: else
  fi;
  if
  :: IS_QUORUM(VOTERS(p_leader), k) ->
     r[p_leader].commitIndex = p_i;
     k = 1;
     do
     :: k <= p_i ->
        /* no committed entry is replaced */
        assert(committedTerm[k] == 0 || (committedTerm[k] == r[p_leader].entryTerm[k] && committedVoters[k] == r[p_leader].entryVoters[k]));
        if
        :: committedTerm[k] == 0 -> committedInTerm[k] = r[p_leader].term
        :: else
        fi;
        committedTerm[k] = r[p_leader].entryTerm[k];
        committedVoters[k] = r[p_leader].entryVoters[k];
        k++
     :: else -> break
     od
  :: else
  fi;
  k = 0
}

#ifdef BUG_COMMIT_OLD_TERM
#define OF_OWN_TERM(l, i) true
#else
#define OF_OWN_TERM(l, i) (r[l].entryTerm[i] == r[l].term)
#endif

/* The latest membership in the leader's log is committed. */
#define LAST_CHANGE_COMMITTED(l) (r[l].entryVoters[r[l].lastIndex] == r[l].entryVoters[r[l].commitIndex])

#ifdef BUG_TWO_CHANGES
#define MAY_CHANGE(l) (r[l].entryTerm[r[l].commitIndex] == r[l].term)
#else
#ifdef BUG_CHANGE_BEFORE_OWN
#define MAY_CHANGE(l) LAST_CHANGE_COMMITTED(l)
#else
#define MAY_CHANGE(l) (LAST_CHANGE_COMMITTED(l) && r[l].entryTerm[r[l].commitIndex] == r[l].term)
#endif
#endif

/* The changes that are tried: replica 3 is added, and replica 0 or 1 is removed
   unless it is the leader, in any order. */
inline changeMembership(p_leader) {
  if
  :: !HAS_BIT(VOTERS(p_leader), 3) -> appendEntry(p_leader, VOTERS(p_leader) | 8)
  :: HAS_BIT(VOTERS(p_leader), 0) && p_leader != 0 -> appendEntry(p_leader, VOTERS(p_leader) & 14)
  :: HAS_BIT(VOTERS(p_leader), 1) && p_leader != 1 -> appendEntry(p_leader, VOTERS(p_leader) & 13)
  :: else
  fi;
  membershipChanges++
}

/* A replica loses its disk. With its old ID it could vote a second time in a term.
   By the rule it gets a new ID, so the old one takes no further part. */
inline loseDisk(p_i) {
  diskLosses++;
#ifdef BUG_AMNESIA
  enterTerm(p_i, 0);
  do
  :: r[p_i].lastIndex > 0 -> r[p_i].entryTerm[r[p_i].lastIndex] = 0; r[p_i].entryVoters[r[p_i].lastIndex] = 0; r[p_i].lastIndex--
  :: else -> break
  od;
  r[p_i].commitIndex = 0
#else
  lostDisks = lostDisks | BIT(p_i)
#endif
}

byte lostDisks;  /* a bit for each replica that lost its disk */
#define HAS_DISK(i) (!HAS_BIT(lostDisks, i))

active proctype main() {
  byte i;
  byte j;
  byte k;
  d_step {
    i = 0;
    do
    :: i < N -> r[i].entryVoters[0] = 7; i++
    :: else -> break
    od;
    committedVoters[0] = 7;
    i = 0
  }
  do
  :: atomic {
       select (i : 0 .. 3);
       select (j : 0 .. 3);
       if
       :: HAS_DISK(i) && i == j && HAS_BIT(VOTERS(i), i) && r[i].term < MAXTERM && !r[i].isLeader -> startElection(i)
       :: HAS_DISK(i) && HAS_DISK(j) && i != j && HAS_BIT(VOTERS(i), j) && r[i].votes != 0 && !r[i].isLeader && !HAS_BIT(r[i].votes, j) -> requestVote(i, j)
       :: HAS_DISK(i) && i == j && !r[i].isLeader && r[i].votes != 0 && IS_QUORUM(VOTERS(i), r[i].votes) -> becomeLeader(i)
       :: HAS_DISK(i) && i == j && r[i].isLeader && r[i].lastIndex < MAXLOG && LAST_TERM(i) != r[i].term -> appendEntry(i, VOTERS(i))
       :: HAS_DISK(i) && HAS_DISK(j) && i != j && r[i].isLeader && r[i].matchIndex[j] < r[i].lastIndex -> replicate(i, j)
       :: HAS_DISK(i) && i == j && r[i].isLeader && r[i].commitIndex < r[i].lastIndex && OF_OWN_TERM(i, r[i].lastIndex) -> commitTo(i, r[i].lastIndex)
       :: HAS_DISK(i) && i == j && r[i].isLeader && r[i].commitIndex + 1 < r[i].lastIndex && OF_OWN_TERM(i, r[i].commitIndex + 1) -> commitTo(i, r[i].commitIndex + 1)
       :: HAS_DISK(i) && i == j && r[i].isLeader && r[i].lastIndex < MAXLOG && membershipChanges < MAXCHANGES && MAY_CHANGE(i) -> changeMembership(i)
       :: i == j && diskLosses < MAXLOSSES && HAS_DISK(i) -> loseDisk(i)
       :: else
       fi;
       i = 0; j = 0
     }
  od
}
