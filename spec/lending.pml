/* Lending of one share of one shard by its holder to two homes, each with one ingress. */
/* mutants: BORROWER_FROM_RECEIPT LAPSED_LOAN_USED SHARE_JOINS_FULL GRANT_OUTLIVES_LOAN TWO_HOMES_LENT RETURN_UNNUMBERED NO_QUARANTINE PROOF_WITHOUT_EPOCH REPLACED_AT_ONCE */

/* Time is true time in ticks; any step may be delayed by any number of ticks, which
   covers slow messages and pauses. Messages may be lost (never received), doubled
   (received without being consumed) and overtaken. A run has a doubled message, a holder
   replaced or home 0 replaced, not two of them; home 0 is the one that asks first. */

#define LOAN 3
#define GRANT 2
#define MOST_DOUBLED 1
#define BURST 1
#define LAST_TICK 5
#define MOST_ASKS 2
#define MOST_CLAIMS 2
#define NOBODY 2

byte now = 0;
byte doubled = 0;
bool home_gone = false;

/* One bucket in one place: the promise. */
byte promise = BURST;

/* The lender (ShareLender). */
byte borrower = NOBODY;
byte idle_from = 0;
byte serial = 0;
byte epoch = 1;
bool inherited = false;

/* The homes (ShareBorrower, GrantIssuer). */
byte until[2];
byte level[2];
byte out[2];
byte grant_end[2];
byte home_serial[2];
byte known_epoch[2];
byte asks[2];
byte sent[2];
bool pending[2];

/* Messages under way: the last of each kind. */
bool ask_there[2];
byte ask_number[2];
byte ask_epoch[2];
bool ask_held[2];
bool answer_there[2];
byte answer_number[2];
byte answer_rest[2];
byte answer_serial[2];
byte answer_epoch[2];
bool answer_lends[2];
bool return_there[2];
byte return_serial[2];

/* The ingresses (AdmissionController). */
byte held[2];
byte held_end[2];

#ifdef MUTANT_LAPSED_LOAN_USED
#define LIVE(h) (until[h] > 0)
#else
#define LIVE(h) (now < until[h])
#endif

#ifdef MUTANT_PROOF_WITHOUT_EPOCH
#define PROVEN(h) (inherited && ask_held[h])
#else
#define PROVEN(h) (inherited && ask_held[h] && ask_epoch[h] == epoch)
#endif

#ifdef MUTANT_TWO_HOMES_LENT
#define MAY_LEND(h) (true)
#else
#define MAY_LEND(h) (borrower == h || now >= idle_from || PROVEN(h))
#endif

#ifdef MUTANT_RETURN_UNNUMBERED
#define IS_LAST(h) (true)
#else
#define IS_LAST(h) (serial == return_serial[h])
#endif

#define LEAST(a, b) ((a) < (b) -> (a) : (b))

inline advance_home(h) {
  if
  :: now >= grant_end[h] -> out[h] = 0; grant_end[h] = 0
  :: else
  fi;
  if
  :: LIVE(h) && level[h] + out[h] < BURST -> level[h]++
  :: else
  fi;
  if
  :: !LIVE(h) -> level[h] = 0; until[h] = 0; home_serial[h] = 0
  :: else
  fi
}

inline tick() {
  now++;
  promise = LEAST(BURST, promise + 1);
  advance_home(0);
  advance_home(1)
}

inline send_ask(h) {
  asks[h]++;
  sent[h] = now;
  pending[h] = true;
  ask_there[h] = true;
  ask_number[h] = asks[h];
  ask_epoch[h] = known_epoch[h];
  ask_held[h] = LIVE(h)
}

inline drop_ask(h) {
  ask_there[h] = false;
  ask_number[h] = 0;
  ask_epoch[h] = 0;
  ask_held[h] = false
}

inline drop_answer(h) {
  answer_there[h] = false;
  answer_number[h] = 0;
  answer_rest[h] = 0;
  answer_serial[h] = 0;
  answer_epoch[h] = 0;
  answer_lends[h] = false
}

/* ShareLender::lend_share */
inline lend(h) {
  answer_there[h] = true;
  answer_number[h] = ask_number[h];
  answer_epoch[h] = epoch;
  answer_lends[h] = false;
  if
  :: MAY_LEND(h) ->
     answer_lends[h] = true;
     answer_rest[h] = (now > idle_from -> 1 : 0);
     serial++;
     answer_serial[h] = serial;
     borrower = h;
     inherited = false;
     idle_from = now + LOAN
  :: else
  fi
}

/* ShareBorrower::record_answer and TokenPool::add_loan */
inline enter_answer(h) {
  if
  :: pending[h] && answer_number[h] == asks[h] ->
     pending[h] = false;
     known_epoch[h] = answer_epoch[h];
     if
     :: answer_lends[h] ->
#ifdef MUTANT_BORROWER_FROM_RECEIPT
        fresh = now + LOAN;
#else
        fresh = sent[h] + LOAN;
#endif
        if
        :: fresh > now && LIVE(h) && fresh > until[h] ->
           until[h] = fresh; home_serial[h] = answer_serial[h]
        :: fresh > now && !LIVE(h) ->
           until[h] = fresh; home_serial[h] = answer_serial[h];
#ifdef MUTANT_SHARE_JOINS_FULL
           level[h] = BURST - out[h]
#else
           level[h] = LEAST(BURST - out[h], answer_rest[h])
#endif
        :: else
        fi;
        fresh = 0
     :: else
     fi;
     sent[h] = 0
  :: else
  fi;
  drop_answer(h)
}

/* TokenPool::grant, and the ingress that takes it in */
inline give(h) {
  level[h]--;
  out[h]++;
#ifdef MUTANT_GRANT_OUTLIVES_LOAN
  grant_end[h] = now + LOAN;
#else
  grant_end[h] = LEAST(now + GRANT, until[h]);
#endif
  held[h] = 1;
  held_end[h] = grant_end[h]
}

/* TokenCache::spend, and its report; an early report lets the home give most */
inline spend(h) {
  held[h] = 0;
  held_end[h] = 0;
  assert(promise > 0);
  promise--;
  out[h] = 0;
  grant_end[h] = 0
}

/* GrantIssuer::close */
inline return_loan(h) {
  until[h] = 0;
  level[h] = 0;
  grant_end[h] = 0;
  return_there[h] = true;
  return_serial[h] = home_serial[h]
}

/* ShareLender::accept_return */
inline take_back(h) {
  if
  :: borrower == h && IS_LAST(h) ->
     borrower = NOBODY;
     idle_from = LEAST(idle_from, now)
  :: else
  fi
}

/* ShareLender::claim by a process that replaces the holder */
inline take_over() {
  epoch++;
  borrower = NOBODY;
  inherited = true;
#ifdef MUTANT_NO_QUARANTINE
  idle_from = now
#else
  idle_from = now + LOAN
#endif
}

/* ShareLender::replace_borrower: the process that was home h is gone, its last grant is not. What it
   sent is refused from now on, and answers to it reach no one. */
inline replace_home(h) {
  home_gone = true;
  until[h] = 0;
  level[h] = 0;
  out[h] = 0;
  grant_end[h] = 0;
  home_serial[h] = 0;
  known_epoch[h] = 0;
  pending[h] = false;
  sent[h] = 0;
  drop_ask(h);
  drop_answer(h);
  if
  :: borrower == h ->
     borrower = NOBODY;
#ifdef MUTANT_REPLACED_AT_ONCE
     idle_from = now
#else
     idle_from = LEAST(idle_from, now + GRANT)
#endif
  :: else
  fi
}

inline step_home(h) {
  if
  :: asks[h] < MOST_ASKS && (h == 0 || asks[0] > 0) -> send_ask(h)
  :: ask_there[h] -> lend(h); drop_ask(h)
  :: ask_there[h] && doubled < MOST_DOUBLED && epoch == 1 && !home_gone -> lend(h); doubled++
  :: answer_there[h] -> enter_answer(h)
  :: LIVE(h) && level[h] > 0 && held[h] == 0 && out[h] == 0 -> give(h)
  :: held[h] > 0 && now < held_end[h] -> spend(h)
  :: held[h] > 0 && now >= held_end[h] -> held[h] = 0; held_end[h] = 0
  :: now < until[h] && out[h] == 0 -> return_loan(h)
  :: return_there[h] -> take_back(h); return_there[h] = false; return_serial[h] = 0
  :: return_there[h] && doubled < MOST_DOUBLED && epoch == 1 && !home_gone -> take_back(h); doubled++
  fi
}

active proctype fleet() {
  byte fresh = 0;
  known_epoch[0] = 0;
  do
  :: atomic { now < LAST_TICK -> tick() }
  :: atomic { epoch < MOST_CLAIMS && doubled == 0 && !home_gone -> take_over() }
  :: atomic { epoch == 1 && doubled == 0 && !home_gone && asks[0] > 0 -> replace_home(0) }
  :: atomic { step_home(0) }
  :: atomic { step_home(1) }
  :: now == LAST_TICK -> break
  od
}
