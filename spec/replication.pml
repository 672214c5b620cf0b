/*
 * Election, append, commit, membership change and amnesia of the replicated
 * log, for four replicas, as in internal/control/lwreplica.
 *
 * An exchange of a request and its answer between two replicas is one step; a
 * lost message is a step not taken. Answers that arrive late are covered, as
 * votes and matches stay noted until the term ends.
 *
 * An entry is a term and a membership (a bit for each voter). The first entry,
 * index 0, holds the first membership {0,1,2}; replica 3 starts outside.
 *
 * Checked in every state: at most one leader in a term; a committed entry is
 * in the log of every later leader (nothing accepted is lost or replaced).
 *
 * Seeded bugs, each to be found:
 *   BUG_VOTE_ANY_LOG      a vote without comparing logs
 *   BUG_COMMIT_OLD_TERM   a leader commits an entry of an earlier term by count
 *   BUG_AMNESIA           a replica that lost its disk keeps its identity
 *   BUG_TWO_CHANGES       a membership change before the one before is committed
 *   BUG_CHANGE_BEFORE_OWN a change before an entry of the leader's own term
 */

#define N        4
#ifndef MAXTERM
#define MAXTERM 3
#endif
#define MAXLOG   3      /* entries after index 0 */
#define LOGSIZE  4

typedef Replica {
  byte term;
  byte voted;           /* 1 + replica, 0 for none */
  bool leads;
  byte votes;           /* bits: who voted for it in this term */
  byte last;            /* last index */
  byte eterm[LOGSIZE];
  byte econf[LOGSIZE];
  byte match[N];        /* of a leader: agreed index, by replica */
  byte commit;
};

Replica r[N];

/* Ghost state: what was committed, by index; 0 is not committed. */
byte cterm[LOGSIZE];
byte cconf[LOGSIZE];
byte cby[LOGSIZE];            /* term of the leader that committed it first */
byte leaderof[MAXTERM + 1];   /* 1 + replica */
byte losses;
byte changes;

#define BIT(i)        (1 << (i))
#define CONF(i)       (r[i].econf[r[i].last])
#define HAS(m, i)     (((m) >> (i)) & 1)
#define COUNT(m)      (HAS(m,0) + HAS(m,1) + HAS(m,2) + HAS(m,3))
#define QUORUM(m, s)  (2 * COUNT((m) & (s)) > COUNT(m))
#define LASTTERM(i)   (r[i].eterm[r[i].last])

#ifdef BUG_VOTE_ANY_LOG
#define CURRENT(c, v) true
#else
#define CURRENT(c, v) (LASTTERM(c) > LASTTERM(v) || (LASTTERM(c) == LASTTERM(v) && r[c].last >= r[v].last))
#endif

inline clearMatch(p_i) {
  r[p_i].match[0] = 0; r[p_i].match[1] = 0; r[p_i].match[2] = 0; r[p_i].match[3] = 0;
}

inline enterTerm(p_i, p_t) {
  r[p_i].term = p_t; r[p_i].voted = 0; r[p_i].leads = false; r[p_i].votes = 0;
  clearMatch(p_i);
}

/* i stands for election in the next term. */
inline campaign(p_i) {
  enterTerm(p_i, r[p_i].term + 1);
  r[p_i].voted = 1 + p_i;
  r[p_i].votes = BIT(p_i);
}

/* v answers the vote request of c. */
inline vote(p_c, p_v) {
  if
  :: r[p_c].term > r[p_v].term -> enterTerm(p_v, r[p_c].term)
  :: else
  fi;
  if
  :: r[p_v].term == r[p_c].term && (r[p_v].voted == 0 || r[p_v].voted == 1 + p_c) && CURRENT(p_c, p_v) ->
     r[p_v].voted = 1 + p_c;
     r[p_c].votes = r[p_c].votes | BIT(p_v)
  :: else
  fi
}

inline lead(p_i) {
  assert(leaderof[r[p_i].term] == 0 || leaderof[r[p_i].term] == 1 + p_i);
  leaderof[r[p_i].term] = 1 + p_i;
  k = 0;
  do
  :: k < LOGSIZE ->
     /* what leaders of earlier terms committed is in this leader's log */
     assert(cterm[k] == 0 || cby[k] >= r[p_i].term || (k <= r[p_i].last && r[p_i].eterm[k] == cterm[k] && r[p_i].econf[k] == cconf[k]));
     k++
  :: else -> break
  od;
  r[p_i].leads = true;
  clearMatch(p_i);
  r[p_i].match[p_i] = r[p_i].last;
  k = 0
}

inline put(p_i, p_conf) {
  /* the arguments are text, so they are read before the log grows */
  r[p_i].econf[r[p_i].last + 1] = p_conf;
  r[p_i].eterm[r[p_i].last + 1] = r[p_i].term;
  r[p_i].last++;
  r[p_i].match[p_i] = r[p_i].last
}

/* f takes the leader's log up to one entry more than it agrees on. */
inline append(p_l, p_f) {
  if
  :: r[p_l].term > r[p_f].term -> enterTerm(p_f, r[p_l].term)
  :: else
  fi;
  if
  :: r[p_l].term == r[p_f].term && !r[p_f].leads ->
     r[p_f].votes = 0;
     k = 1;              /* first index at which the logs differ */
     do
     :: k <= r[p_l].last && k <= r[p_f].last && r[p_l].eterm[k] == r[p_f].eterm[k] -> k++
     :: else -> break
     od;
     if
     :: k <= r[p_l].last ->
        if
        :: k <= r[p_f].last ->
           /* cut what contradicts the leader */
           do
           :: r[p_f].last >= k -> r[p_f].eterm[r[p_f].last] = 0; r[p_f].econf[r[p_f].last] = 0; r[p_f].last--
           :: else -> break
           od
        :: else
        fi;
        r[p_f].eterm[k] = r[p_l].eterm[k];
        r[p_f].econf[k] = r[p_l].econf[k];
        r[p_f].last = k;
        r[p_l].match[p_f] = k
     :: else -> r[p_l].match[p_f] = r[p_l].last
     fi;
     k = 0
  :: else
  fi
}

inline commitTo(p_l, p_i) {
  k = 0;
  if
  :: HAS(CONF(p_l), 0) && r[p_l].match[0] >= p_i -> k = k | 1 :: else
  fi;
  if
  :: HAS(CONF(p_l), 1) && r[p_l].match[1] >= p_i -> k = k | 2 :: else
  fi;
  if
  :: HAS(CONF(p_l), 2) && r[p_l].match[2] >= p_i -> k = k | 4 :: else
  fi;
  if
  :: HAS(CONF(p_l), 3) && r[p_l].match[3] >= p_i -> k = k | 8 :: else
  fi;
  if
  :: QUORUM(CONF(p_l), k) ->
     r[p_l].commit = p_i;
     k = 1;
     do
     :: k <= p_i ->
        /* nothing committed is replaced */
        assert(cterm[k] == 0 || (cterm[k] == r[p_l].eterm[k] && cconf[k] == r[p_l].econf[k]));
        if
        :: cterm[k] == 0 -> cby[k] = r[p_l].term
        :: else
        fi;
        cterm[k] = r[p_l].eterm[k];
        cconf[k] = r[p_l].econf[k];
        k++
     :: else -> break
     od
  :: else
  fi;
  k = 0
}

#ifdef BUG_COMMIT_OLD_TERM
#define OWNTERM(l, i) true
#else
#define OWNTERM(l, i) (r[l].eterm[i] == r[l].term)
#endif

/* The last entry that changed the membership is committed. */
#define CHANGEDONE(l) (r[l].econf[r[l].last] == r[l].econf[r[l].commit])

#ifdef BUG_TWO_CHANGES
#define MAYCHANGE(l) (r[l].eterm[r[l].commit] == r[l].term)
#else
#ifdef BUG_CHANGE_BEFORE_OWN
#define MAYCHANGE(l) CHANGEDONE(l)
#else
#define MAYCHANGE(l) (CHANGEDONE(l) && r[l].eterm[r[l].commit] == r[l].term)
#endif
#endif

/* The membership changes tried: replica 3 in, then replica 0 or 1 out, or
   either first. */
inline change(p_l) {
  if
  :: !HAS(CONF(p_l), 3) -> put(p_l, CONF(p_l) | 8)
  :: HAS(CONF(p_l), 0) && p_l != 0 -> put(p_l, CONF(p_l) & 14)
  :: HAS(CONF(p_l), 1) && p_l != 1 -> put(p_l, CONF(p_l) & 13)
  :: else
  fi;
  changes++
}

/* A replica loses its disk. Under its old identity it could vote again; under
   the rule it is a new member, which this model shows as one that is silent. */
inline loseDisk(p_i) {
  losses++;
#ifdef BUG_AMNESIA
  enterTerm(p_i, 0);
  do
  :: r[p_i].last > 0 -> r[p_i].eterm[r[p_i].last] = 0; r[p_i].econf[r[p_i].last] = 0; r[p_i].last--
  :: else -> break
  od;
  r[p_i].commit = 0
#else
  gone = gone | BIT(p_i)
#endif
}

byte gone;                 /* replicas that lost their disk */
#define UP(i) (!HAS(gone, i))

active proctype main() {
  byte i;
  byte j;
  byte k;
  d_step {
    i = 0;
    do
    :: i < N -> r[i].econf[0] = 7; i++
    :: else -> break
    od;
    cconf[0] = 7;
    i = 0
  }
  do
  :: atomic {
       select (i : 0 .. 3);
       select (j : 0 .. 3);
       if
       :: UP(i) && i == j && HAS(CONF(i), i) && r[i].term < MAXTERM && !r[i].leads -> campaign(i)
       :: UP(i) && UP(j) && i != j && HAS(CONF(i), j) && r[i].votes != 0 && !r[i].leads && !HAS(r[i].votes, j) -> vote(i, j)
       :: UP(i) && i == j && !r[i].leads && r[i].votes != 0 && QUORUM(CONF(i), r[i].votes) -> lead(i)
       :: UP(i) && i == j && r[i].leads && r[i].last < MAXLOG && LASTTERM(i) != r[i].term -> put(i, CONF(i))
       :: UP(i) && UP(j) && i != j && r[i].leads && r[i].match[j] < r[i].last -> append(i, j)
       :: UP(i) && i == j && r[i].leads && r[i].commit < r[i].last && OWNTERM(i, r[i].last) -> commitTo(i, r[i].last)
       :: UP(i) && i == j && r[i].leads && r[i].commit + 1 < r[i].last && OWNTERM(i, r[i].commit + 1) -> commitTo(i, r[i].commit + 1)
       :: UP(i) && i == j && r[i].leads && r[i].last < MAXLOG && changes < MAXCHANGES && MAYCHANGE(i) -> change(i)
       :: i == j && losses < MAXLOSSES && UP(i) -> loseDisk(i)
       :: else
       fi;
       i = 0; j = 0
     }
  od
}
