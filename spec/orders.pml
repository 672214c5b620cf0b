/*
 * Model of the orders for one run: a leader, one worker with its agent, and one
 * task, within one term. As soon as the leader releases the run, it may start the
 * task on another worker, and that run may be in progress for any time.
 *
 * A lease is the number of the registration under which it was granted. All
 * leases of a registration have ended when the leader removes the worker because
 * its lease has ended. Orders, starts, answers and reports may be lost, late and,
 * if of different kinds or copies of one start, overtake each other.
 *
 * Each of these adds events to those of a worker that runs its task:
 *   REFUSALS  the worker or its agent refuses starts
 *   LAPSE     leases end, and the worker is registered again
 *   CONN      connections are refused, while the worker runs on or because another
 *             worker has its address
 *   RESTART   the worker ends and starts again with the same id
 *   STOPS     the leader stops the run, also before lists have shown it
 *   POLLS=2   answers to polls overtake each other
 *   REPORTS=2 reports overtake each other
 *
 * With ORDERED_LISTS the agent takes no lists that may be older than those at hand,
 * as the real one does. Without it, it takes lists in any order.
 *
 * Calls that are sent after a restart and before the agent knows of it are carried
 * out by the next life. Not modelled: a call that was sent to one life of the worker
 * and is carried out by the next one. Whether workers do that is an open question to
 * the provider (docs/PROVIDER.md). RESTART is not checked with LAPSE: a lease is an
 * end on the clock of one life, and on the clock of the next one it may outlast what
 * the leader counts when that life is lost before it has reported. It is checked
 * alone and with REFUSALS only; the searches with STOPS and with POLLS=2 did not
 * complete.
 *
 * A leader that raises the token of a worker that has received a higher one keeps
 * the run, so a start or a stop that is refused for its token has no effect here.
 *
 * Checked: never are two runs of the task in progress.
 *
 * Seeded bugs, each of which the check must find:
 *   BUG_REFUSED_ENDS      (CONN) refused connections release the run at once
 *   BUG_REFUSE_UNBLOCKED  (REFUSALS) a refused start is reported without a stop, if
 *                         the agent has sent it only once
 *   BUG_LEASE_APART       (LAPSE) the token of a start is checked before its lease
 *                         is read
 *   BUG_SEND_RELEASED     (LAPSE) a start that waits to be sent is sent although its
 *                         run was released
 *   BUG_SAME_TOKEN        (RESTART) the next life of the worker gets the token of
 *                         the one before
 *   BUG_RELEASE_UNLISTED  (RESTART) a run that no list has shown is released when
 *                         the next life reports
 *   BUG_SEND_SHOWN        (RESTART) a start is sent although lists have shown its run
 *                         or a stop has blocked it
 *   BUG_BLOCKED_AT_ORDER  (RESTART, REFUSALS) whether a stop has blocked the run is
 *                         checked when an order arrives and not when it is sent
 *   BUG_LISTS_BEFORE_COPY (RESTART) lists that were asked for before a start was
 *                         sent again are taken although they show its run
 *   BUG_FIRST_LATE        (RESTART) the first order of a start, carried out after a
 *                         repeated one, counts as the first copy
 *   BUG_RELEASE_MISSING   (POLLS, REPORTS) a run that is no longer listed is released
 *                         without a stop
 */
#ifndef MAXREGISTRATION
#define MAXREGISTRATION 2
#endif
#ifndef POLLS
#define POLLS 1
#endif
#ifndef REPORTS
#define REPORTS 1
#endif
#define STARTS 2
#define LONG 7 /* lease that the next life counts from the call */

/* The worker. */
byte life = 1;
bool running;
bool blocked;         /* stopped or ended: no start of the run is accepted */
bool ended;           /* the end of the run is listed */
byte token;
byte lease;           /* 0: ended */
bool elsewhere;       /* another worker may run the task */

/* The leader. */
mtype = { NOT_ORDERED, ORDERED, LISTED, STOPPING, RELEASED }
mtype phase = NOT_ORDERED;
byte registered;      /* life of the worker that is known; 0 for none */
byte leaderToken;     /* kept as the highest one while the worker is not known */
bool wasListed;
bool fromEarlier;     /* ordered from an earlier life */
bool waiting[2];      /* the first start, and a repeated one, wait to be sent */

/* Orders to the agent: the first start, a repeated one and a stop. */
typedef Order { byte token; byte life }
Order order[3];       /* token 0 for none */

/* The agent. */
mtype = { IDLE, READY, CHECKED, CALLING }
byte agentLife = 1;
byte agentToken;
byte agentLease;
byte listsToken;
bool listsRunning;
bool listsEnded;
bool shown;           /* taken lists have shown the run or its end */
mtype starting = IDLE;
byte startToken;
byte called;          /* start call that is waited for, if CALLING */
bool mayHaveStarted;
byte stopToken;       /* of the stop in progress; 0 for none */
bool stopAnswered;
bool sent;            /* a start was sent to this life */
bool refusal;         /* the next reports say that the run never began */

#ifdef BUG_SEND_SHOWN
#define SETTLED false
#define SETTLED_AT_SEND false
#else
#define SETTLED (shown || refusal)
#ifdef BUG_BLOCKED_AT_ORDER
#define SETTLED_AT_SEND shown
#else
#define SETTLED_AT_SEND SETTLED
#endif
#endif
#ifdef BUG_FIRST_LATE
#define IS_COPY mayHaveStarted
#else
#define IS_COPY (mayHaveStarted || sent)
#endif

/* Starts on their way to the worker. */
typedef Start { byte token; byte lease; byte life }
Start start[STARTS];  /* token 0 for none */

/* Answers to polls. */
typedef Lists { byte token; byte sentFor; byte life; bool running; bool ended; bool afterStop; bool beforeCopy; bool older }
Lists lists[POLLS];   /* token 0 for none; older: another answer on its way is newer */

/* Reports to the leader, and its reply. */
typedef Report { byte life; byte token; bool running; bool ended; bool refusal; bool processEnded }
Report report[REPORTS]; /* life 0 for none */
typedef Reply { byte life; byte token; byte lease }
Reply reply;          /* life 0 for none */

#ifdef CONN
bool gone;            /* the worker's process has ended and another worker has its address */
bool refusing;        /* the worker refuses connections and runs on */
#define REACHABLE (!gone && !refusing)
#else
#define REACHABLE true
#endif

inline clear_start(k) { start[k].token = 0; start[k].lease = 0; start[k].life = 0 }
inline clear_order(k) { order[k].token = 0; order[k].life = 0 }
inline clear_reply() { reply.life = 0; reply.token = 0; reply.lease = 0 }
inline clear_lists(k) {
  lists[k].token = 0; lists[k].sentFor = 0; lists[k].life = 0;
  lists[k].running = false; lists[k].ended = false; lists[k].afterStop = false; lists[k].beforeCopy = false; lists[k].older = false
}
inline clear_report(k) {
  report[k].life = 0; report[k].token = 0; report[k].running = false;
  report[k].ended = false; report[k].refusal = false; report[k].processEnded = false
}

inline release() {
  if
  :: phase != NOT_ORDERED && phase != RELEASED ->
       phase = RELEASED;
       elsewhere = true;
       fromEarlier = false;
       wasListed = false;
#ifndef BUG_SEND_RELEASED
       waiting[0] = false;
       waiting[1] = false
#endif
  :: else
  fi
}

inline remove_worker() { registered = 0; release() }

inline stop_run() {
  if
  :: phase == ORDERED || phase == LISTED -> phase = STOPPING
  :: else
  fi
}

inline end_run() {
  if
  :: running -> running = false; blocked = true; ended = true
  :: else
  fi
}

inline end_leases() {
  if
  :: lease == leaderToken -> lease = 0; end_run()
  :: else
  fi;
  if
  :: agentLease == leaderToken -> agentLease = 0
  :: else
  fi;
  if
  :: reply.lease == leaderToken -> reply.lease = 0
  :: else
  fi;
  for (i : 0 .. STARTS - 1) {
    if
    :: start[i].lease == leaderToken -> start[i].lease = 0
    :: else
    fi
  }
}

inline register(next) {
  if
  :: registered == 0 -> leaderToken++
  :: registered != 0 && registered < next ->
       waiting[0] = false;
       waiting[1] = false;
#ifdef BUG_RELEASE_UNLISTED
       release();
#else
       if
       :: wasListed -> release()
       :: !wasListed && phase != NOT_ORDERED && phase != RELEASED -> fromEarlier = true
       :: else
       fi;
#endif
#ifndef BUG_SAME_TOKEN
       leaderToken++
#endif
  :: else
  fi;
  registered = next
}

inline handle_lists(k) {
  if
  :: report[k].ended || report[k].refusal -> release()
  :: else
  fi;
  if
  :: report[k].running && phase != NOT_ORDERED && phase != RELEASED ->
       wasListed = true;
       fromEarlier = false;
       if
       :: phase == ORDERED -> phase = LISTED
       :: else
       fi
  :: !report[k].running && fromEarlier -> release()
  :: !report[k].running && phase == LISTED ->
#ifdef BUG_RELEASE_MISSING
       release()
#else
       stop_run()
#endif
  :: else
  fi
}

inline handle_report(k) {
  if
  :: report[k].processEnded ->
       if
       :: registered == report[k].life -> remove_worker()
       :: else
       fi
  :: !report[k].processEnded && registered <= report[k].life &&
     (registered != 0 || leaderToken < MAXREGISTRATION) ->
       register(report[k].life);
       if
       :: report[k].token == leaderToken -> handle_lists(k)
       :: else
       fi;
       reply.life = report[k].life;
       reply.token = leaderToken;
       reply.lease = leaderToken
  :: else
  fi;
  clear_report(k)
}

inline adopt(given) {
  if
  :: given > agentToken -> agentToken = given
  :: else
  fi
}

inline handle_order(k) {
  if
  :: order[k].life == agentLife && order[k].token >= agentToken ->
       adopt(order[k].token);
       if
       :: k < 2 && starting == IDLE && !SETTLED ->
            starting = READY;
            startToken = order[k].token;
            mayHaveStarted = (k == 1)
       :: k == 2 && stopToken == 0 -> stopToken = order[k].token
       :: else
       fi
  :: else
  fi;
  clear_order(k)
}

inline end_start() { starting = IDLE; startToken = 0; called = 0; mayHaveStarted = false }

inline handle_refusal() {
  if
#ifdef BUG_REFUSE_UNBLOCKED
  :: !mayHaveStarted -> refusal = true
#endif
  :: else ->
       if
       :: stopToken == 0 -> stopToken = startToken
       :: else
       fi
  fi;
  end_start()
}

mtype = { NO_ANSWER, STARTED, REFUSED, FENCED, LATE }

inline take_lease(until, target) {
  if
  :: until != 0 && target != life -> lease = LONG
  :: until != 0 && target == life && until > lease -> lease = until
  :: else
  fi
}

inline carry_out_start(k) {
  if
  :: start[k].token < token -> answer = FENCED
  :: start[k].token >= token ->
       token = start[k].token;
       if
#ifdef REFUSALS
       :: !running -> answer = REFUSED; take_lease(start[k].lease, start[k].life)
#endif
       :: running -> answer = STARTED; take_lease(start[k].lease, start[k].life)
       :: !running && start[k].lease == 0 -> answer = LATE
       :: !running && start[k].lease != 0 && blocked ->
            answer = REFUSED;
            take_lease(start[k].lease, start[k].life)
       :: !running && start[k].lease != 0 && !blocked ->
            answer = STARTED;
            take_lease(start[k].lease, start[k].life);
            running = true
       fi
#ifdef REFUSALS
  :: start[k].token >= token -> answer = REFUSED /* unhealthy: nothing is done */
#endif
  fi;
  if
  :: starting == CALLING && called == k ->
       if
       :: answer == STARTED || answer == FENCED -> end_start()
       :: answer == LATE -> starting = READY
       :: answer == REFUSED -> handle_refusal()
       :: starting = READY; mayHaveStarted = true /* the answer is lost */
       fi
  :: else
  fi;
  answer = NO_ANSWER;
  clear_start(k)
}

inline send_start(k) {
#ifndef BUG_LISTS_BEFORE_COPY
  for (i : 0 .. POLLS - 1) {
    if
    :: IS_COPY && lists[i].token != 0 -> lists[i].beforeCopy = true
    :: else
    fi
  }
  sent = true;
#endif
  start[k].token = startToken;
  start[k].lease = agentLease;
  start[k].life = agentLife;
  starting = CALLING;
  called = k
}

inline poll(k) {
  token = agentToken;
  take_lease(agentLease, agentLife);
  lists[k].token = agentToken;
  lists[k].sentFor = agentLife;
  lists[k].life = life;
  lists[k].running = running;
  lists[k].ended = ended;
  lists[k].afterStop = stopAnswered;
#ifdef ORDERED_LISTS
  for (i : 0 .. POLLS - 1) {
    if
    :: i != k && lists[i].token != 0 -> lists[i].older = true
    :: else
    fi
  }
#endif
}

inline forget_lists(k) {
  clear_lists(k);
  for (i : 0 .. POLLS - 1) {
    lists[i].older = false
  }
}

inline apply_lists(k) {
  if
  :: lists[k].sentFor == agentLife && lists[k].life == agentLife &&
     !(lists[k].beforeCopy && (lists[k].running || lists[k].ended)) ->
       listsToken = lists[k].token;
       listsRunning = lists[k].running;
       listsEnded = lists[k].ended;
#ifdef ORDERED_LISTS
       for (i : 0 .. POLLS - 1) {
         if
         :: i != k && lists[i].older -> clear_lists(i)
         :: i != k && !lists[i].older
         :: else
         fi
       }
#endif
       shown = shown || lists[k].running || lists[k].ended;
       if
       :: stopAnswered && lists[k].afterStop && !lists[k].running ->
            stopAnswered = false;
            refusal = refusal || !lists[k].ended
       :: else
       fi
  :: else
  fi;
  forget_lists(k)
}

inline send_report(k, hasEnded) {
  report[k].life = agentLife;
  report[k].token = listsToken;
  report[k].running = listsRunning;
  report[k].ended = listsEnded;
  report[k].refusal = refusal;
  report[k].processEnded = hasEnded
}

inline announce() {
  agentLife = life;
  agentToken = 0;
  agentLease = 0;
  listsToken = 0;
  listsRunning = false;
  listsEnded = false;
  shown = false;
  stopToken = 0;
  stopAnswered = false;
  refusal = false;
  sent = false;
  end_start()
}

active proctype main() {
  byte i, j;
  mtype answer = NO_ANSWER;
  do
  :: atomic {
       if
       :: j = 0
       :: j = 1
       fi;
       if
       /* The leader. */
       :: phase == NOT_ORDERED && registered != 0 -> phase = ORDERED; waiting[0] = true
       :: phase == ORDERED && !fromEarlier && !waiting[1] && order[1].token == 0 -> waiting[1] = true
#ifdef STOPS
       :: j == 0 && phase != RELEASED -> stop_run()
#endif
       :: phase == STOPPING && registered != 0 && order[2].token == 0 ->
            order[2].token = leaderToken;
            order[2].life = registered
       :: waiting[j] && registered != 0 && order[j].token == 0 ->
            waiting[j] = false;
            order[j].token = leaderToken;
            order[j].life = registered
       :: j < REPORTS && report[j].life != 0 -> handle_report(j)
       :: j < REPORTS && report[j].life != 0 -> clear_report(j)

       /* The agent. */
       :: order[j].token != 0 -> handle_order(j)
       :: j == 0 && order[2].token != 0 -> handle_order(2)
       :: order[j].token != 0 -> clear_order(j)
       :: j == 0 && order[2].token != 0 -> clear_order(2)
       :: j == 0 && reply.life != 0 ->
            if
            :: reply.life == agentLife && reply.token >= agentToken ->
                 adopt(reply.token);
                 if
                 :: reply.lease > agentLease -> agentLease = reply.lease
                 :: else
                 fi
            :: else
            fi;
            clear_reply()
       :: j == 0 && reply.life != 0 -> clear_reply()
       :: j < REPORTS && report[j].life == 0 -> send_report(j, false)
       :: j == 0 && starting == READY && (startToken != agentToken || stopToken != 0 || stopAnswered) -> end_start()
       :: j == 0 && starting == READY && SETTLED_AT_SEND -> end_start()
#ifdef REFUSALS
       :: j == 0 && starting == READY && startToken == agentToken -> handle_refusal()
#endif
#ifdef BUG_LEASE_APART
       :: j == 0 && starting == READY && startToken == agentToken && stopToken == 0 && !stopAnswered -> starting = CHECKED
       :: starting == CHECKED && agentLease != 0 && start[j].token == 0 -> send_start(j)
#else
       :: starting == READY && startToken == agentToken && stopToken == 0 && !stopAnswered && !SETTLED_AT_SEND &&
          agentLease != 0 && start[j].token == 0 -> send_start(j)
#endif
       :: j == 0 && starting == CALLING -> starting = READY; called = 0; mayHaveStarted = true /* no answer in time */
       :: j == 0 && stopToken != 0 && stopToken != agentToken -> stopToken = 0
       :: j == 0 && stopToken != 0 && stopToken == agentToken && REACHABLE ->
            if
            :: stopToken < token -> stopToken = 0
            :: stopToken >= token ->
                 token = stopToken;
                 blocked = true;
                 if
                 :: stopToken = 0; stopAnswered = true
                 :: true /* the answer is lost */
                 fi
            fi
       :: j < POLLS && lists[j].token == 0 && agentToken != 0 && agentToken >= token && REACHABLE -> poll(j)
       :: j < POLLS && lists[j].token != 0 -> apply_lists(j)
       :: j < POLLS && lists[j].token != 0 -> forget_lists(j)

       /* The worker. */
       :: start[j].token != 0 && REACHABLE -> carry_out_start(j)
       :: start[j].token != 0 && !(starting == CALLING && called == j) -> clear_start(j)
       :: j == 0 && running -> end_run()
#ifdef LAPSE
       :: j == 0 && lease != 0 -> lease = 0; end_run()
       :: j == 0 && agentLease != 0 -> agentLease = 0
       :: j == 0 && registered != 0 && leaderToken < MAXREGISTRATION ->
            end_leases();
            remove_worker()
#endif
#ifdef RESTART
       :: j == 0 && life == 1 ->
            life = 2;
            running = false;
            blocked = false;
            ended = false;
            token = 0;
            lease = 0;
            for (i : 0 .. STARTS - 1) {
              clear_start(i)
            }
       :: j == 0 && agentLife != life -> announce()
#endif
#ifdef CONN
       :: j == 0 && !gone && !refusing -> refusing = true
       :: j == 0 && refusing -> refusing = false
       :: j == 0 && !gone -> gone = true; refusing = false; running = false
#ifdef BUG_REFUSED_ENDS
       :: j < REPORTS && (gone || refusing) && report[j].life == 0 -> send_report(j, true)
#else
       :: j < REPORTS && gone && report[j].life == 0 -> send_report(j, true)
#endif
#endif
       :: else
       fi;
       assert(!(running && elsewhere))
     }
  od
}
