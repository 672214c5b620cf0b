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
 *   POLLS=2   answers to polls overtake each other
 *   REPORTS=2 reports overtake each other
 *
 * Not modelled: a worker that ends and starts again with the same id, and a call
 * that was sent to one life of a worker and is carried out by the next one. Whether
 * workers do the latter is an open question to the provider (docs/PROVIDER.md).
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
mtype starting = IDLE;
byte startToken;
byte called;          /* start call that is waited for, if CALLING */
bool mayHaveStarted;
byte stopToken;       /* of the stop in progress; 0 for none */
bool stopAnswered;
bool refusal;         /* the next reports say that the run never began */

/* Starts on their way to the worker. */
typedef Start { byte token; byte lease; byte life }
Start start[STARTS];  /* token 0 for none */

/* Answers to polls. */
typedef Lists { byte token; byte sentFor; byte life; bool running; bool ended; bool afterStop }
Lists lists[POLLS];   /* token 0 for none */

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
  lists[k].running = false; lists[k].ended = false; lists[k].afterStop = false
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
       if
       :: phase == ORDERED -> phase = LISTED
       :: else
       fi
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
       :: k < 2 && starting == IDLE && !listsRunning ->
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
  lists[k].afterStop = stopAnswered
}

inline apply_lists(k) {
  if
  :: lists[k].sentFor == agentLife && lists[k].life == agentLife ->
       listsToken = lists[k].token;
       listsRunning = lists[k].running;
       listsEnded = lists[k].ended;
       if
       :: stopAnswered && lists[k].afterStop && !lists[k].running ->
            stopAnswered = false;
            refusal = refusal || !lists[k].ended
       :: else
       fi
  :: else
  fi;
  clear_lists(k)
}

inline send_report(k, hasEnded) {
  report[k].life = agentLife;
  report[k].token = listsToken;
  report[k].running = listsRunning;
  report[k].ended = listsEnded;
  report[k].refusal = refusal;
  report[k].processEnded = hasEnded
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
       :: phase == ORDERED && !waiting[1] && order[1].token == 0 -> waiting[1] = true
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
#ifdef REFUSALS
       :: j == 0 && starting == READY && startToken == agentToken -> handle_refusal()
#endif
#ifdef BUG_LEASE_APART
       :: j == 0 && starting == READY && startToken == agentToken && stopToken == 0 && !stopAnswered -> starting = CHECKED
       :: starting == CHECKED && agentLease != 0 && start[j].token == 0 -> send_start(j)
#else
       :: starting == READY && startToken == agentToken && stopToken == 0 && !stopAnswered &&
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
       :: j < POLLS && lists[j].token != 0 -> clear_lists(j)

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
