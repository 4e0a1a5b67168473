/*
 * The prepaid rights of one workspace between the ledger of the keepers' log and
 * one router, from its start to its death: what the router may use without a word,
 * and what the ledger counts as used once it is dead (package allotter).
 *
 * The router states a limit with each claim: a ceiling that rises by SLOPE for each
 * tick after a rise delay of REST ticks, or with RESTS of REST or LONG_REST ticks, as the
 * claim states. A claim may leave the workspace out while the last stated
 * ceiling covers all that was used; the limit then counts from this claim on. From its
 * sending on the router keeps to the limit of each claim, until it has seen the answer of
 * a later one: whichever was taken in last is all that the ledger must know. Claims follow
 * each other, and the answer of one that was given up is not taken.
 *
 * The network: a claim that was sent is a fact that is never taken back, and the
 * ledger may take it in at any time, or never, also after the router's end; an answer
 * may be lost. A cut is a stretch in which nothing is taken in, a frozen router one
 * without steps.
 *
 * All other routers are one environment that takes what nobody holds and spends it
 * at once, borrows from the router: if the ledger gives anything
 * away that the router used, the sum shows it.
 *
 * Time is in ticks that all clocks agree on: that they do, or that all is taken for
 * used, is checked by tests of allotter. Each BUG_ flag is one seeded mistake; an
 * assertion must fail with it. A REACH_ flag shows that a state is reached at all.
 */

#ifndef TOTAL
#define TOTAL 3
#endif
#ifndef CLAIMS
#define CLAIMS 3
#endif
#ifndef TICKS
#define TICKS 3
#endif
#define REST 1
#define LONG_REST 2
#define SLOPE 1
#define NONE 255

/* The router. */
bool alive = true;
byte used;                 /* spent, set aside and lent */
byte granted, returned;    /* as the router knows them */
byte ceiling;              /* what it stated last and saw the answer of */
byte rest;                 /* the rise delay of that ceiling */
bool stated;               /* it has a limit */
byte sent;                 /* claims sent */
byte answered;             /* the last claim with an answer */

/* Claims that were sent; the first has the number 1. */
typedef claim {
  byte at, ceiling, returned;
  byte rest;               /* the rise delay that the router obeys by it */
  bool named;
  byte limit;              /* the ceiling that the router keeps to by it */
  bool taken;              /* taken in by the ledger */
  byte granted;            /* what its answer says */
};
claim claims[CLAIMS + 1];

/* The ledger's account of the router. */
byte lGranted, lReturned, newest;
bool ended;
byte consumed;             /* counted as used after the end */

/* Tokens that callers got. */
byte delivered;            /* from the router */
byte others;               /* from the environment */
byte now;

/* What the router may use more. */
#define HEADROOM (granted - returned - used)
#define RISEN(c, t, rest) ((c) + SLOPE * ((t) > (rest) -> (t) - (rest) : 0))
#ifdef BUG_NEWEST_REST
/* The rise delay of the newest claim is applied to the bounds of earlier ones. */
#define OBEYED_REST(n) claims[sent].rest
#else
#define OBEYED_REST(n) claims[n].rest
#endif
#define WITHIN(n) (used < RISEN(claims[n].limit, now - claims[n].at, OBEYED_REST(n)))
#ifdef BUG_ANSWERED
#define KEPT(n) (n != answered || WITHIN(n))
#else
#ifdef BUG_RESTATED
#define KEPT(n) (n < answered || n > sent || (n > answered && !claims[n].named) || WITHIN(n))
#else
#define KEPT(n) (n < answered || n > sent || WITHIN(n))
#endif
#endif
#if CLAIMS > 3
#define ALLOWED (stated && KEPT(1) && KEPT(2) && KEPT(3) && KEPT(4))
#else
#if CLAIMS > 2
#define ALLOWED (stated && KEPT(1) && KEPT(2) && KEPT(3))
#else
#define ALLOWED (stated && KEPT(1) && KEPT(2))
#endif
#endif

/* What nobody holds. */
#define HELD (ended -> consumed : lGranted - lReturned)
#define LEFT (TOTAL - HELD - others)

#ifdef BUG_UNCOVERED
#define COVERED (stated && answered == sent)
#else
#ifdef BUG_UNANSWERED
#define COVERED (stated && used <= ceiling)
#else
#define COVERED (stated && answered == sent && used <= ceiling)
#endif
#endif

/* What a claim says was given back. */
#ifdef BUG_RETURN
#define GIVEN (returned + 1)
#else
#define GIVEN returned
#endif

inline reachLeftOut() {
#ifdef REACH_LEFT_OUT
  assert(used == 0)
#else
  skip
#endif
}

inline check() {
  assert(delivered + others <= TOTAL);
}

inline reachRests() {
#ifdef REACH_RESTS
  assert(!(sent > 1 && claims[1].named && claims[sent].named && claims[1].rest > claims[sent].rest && answered == 1))
#else
  skip
#endif
}

/* The ceiling and rise delay in force by a claim: its own, or those named last before. */
inline statedBy(n, out, outRest) {
  out = NONE;
  k = n;
  do
  :: k >= 1 && claims[k].taken && claims[k].named -> out = claims[k].ceiling; outRest = claims[k].rest; break
  :: k >= 1 && !(claims[k].taken && claims[k].named) -> k--
  :: k == 0 -> break
  od
}

byte k, c, d, most, t;

/* The router's successor has claimed: the ledger ends the account. */
inline finish(moment) {
  most = 0;
  if
  :: newest > 0 ->
     t = moment - claims[newest].at;
#ifdef BUG_TAKEN_TIME
     t = (t > 1 -> t - 1 : 0);
#endif
     statedBy(newest, c, d);
#ifdef BUG_LEDGER_REST
     d = LONG_REST;
#endif
     if :: c != NONE -> most = RISEN(c, t, d) :: else fi
  :: else
  fi;
  consumed = (most < lGranted - lReturned -> most : lGranted - lReturned);
#ifdef REACH_RECOVERED
  assert(!(consumed < lGranted - lReturned && consumed > 0));
#endif
  ended = true;
  /* Nothing of the account matters any more. */
  k = 0; c = 0; d = 0; most = 0; t = 0; rest = 0;
  used = 0; granted = 0; returned = 0; ceiling = 0; stated = false; answered = 0;
  lGranted = 0; lReturned = 0; newest = 0; now = 0; sent = 0
}

/* The ledger takes a claim in; it grants up to what is left. */
inline take(n) {
  claims[n].taken = true;
  if
  :: n > newest ->
     newest = n;
     if
     :: claims[n].named ->
        if :: claims[n].returned > lReturned -> lReturned = claims[n].returned :: else fi;
        if
        :: LEFT > 0 -> lGranted++
        :: LEFT > 1 -> lGranted = lGranted + 2
        :: true
        fi
     :: else
     fi
  :: else
  fi;
  claims[n].granted = lGranted
}

init {
end_of_steps:
  do
  /* Time goes on. */
  :: !ended && now < TICKS -> now++

  /* A caller gets a token. */
  :: alive && HEADROOM > 0 && ALLOWED -> atomic { used++; delivered++; check() }

#ifdef LENDING
  /* The router lends a token; the answer is lost or not. */
  :: alive && HEADROOM > 0 && ALLOWED && others < TOTAL ->
     atomic {
#ifndef BUG_LEND
       used++;
#endif
       if :: others++ :: true fi;
       check()
     }
#endif

  /* The router sends a claim; the one before it is given up. */
  :: alive && sent < CLAIMS ->
     atomic {
       if
       :: COVERED ->
          sent++;
          claims[sent].limit = ceiling;
#ifdef BUG_OMITTED_REST
          claims[sent].rest = REST
#else
          claims[sent].rest = rest
#endif
       :: true ->
          sent++;
          claims[sent].named = true;
          if
          :: HEADROOM > 0 && returned < granted ->
#ifndef BUG_RETURN
             returned++;
#endif
             claims[sent].returned = GIVEN
          :: true -> claims[sent].returned = returned
          fi;
#ifdef BUG_IN_PROGRESS
          claims[sent].ceiling = (used > 1 -> used - 1 : 0);
#else
          if
          :: claims[sent].ceiling = used
          :: claims[sent].ceiling = used + 1
          fi;
#endif
          claims[sent].limit = claims[sent].ceiling;
#ifdef RESTS
          if
          :: claims[sent].rest = REST
          :: claims[sent].rest = LONG_REST
          fi
#else
          claims[sent].rest = REST
#endif
       fi;
       reachRests();
       claims[sent].at = now
     }

  /* The ledger takes a claim in, at any time before the end; it knows later ones for
     those of an incarnation that has ended. */
  :: sent >= 1 && !claims[1].taken && !ended -> atomic { take(1) }
  :: sent >= 2 && !claims[2].taken && !ended -> atomic { take(2) }
#if CLAIMS > 2
  :: sent >= 3 && !claims[3].taken && !ended -> atomic { take(3) }
#endif
#if CLAIMS > 3
  :: sent >= 4 && !claims[4].taken && !ended -> atomic { take(4) }
#endif

  /* The router sees the answer of its newest claim. */
  :: alive && sent > answered && claims[sent].taken ->
     atomic {
       answered = sent;
       if :: claims[sent].granted > granted -> granted = claims[sent].granted :: else fi;
       if
       :: claims[sent].named -> ceiling = claims[sent].ceiling; rest = claims[sent].rest; stated = true
       :: else -> reachLeftOut()
       fi
     }

  /* The router dies. Its successor starts at once or later, and claims. */
  :: alive -> alive = false
  :: !alive && !ended -> atomic { finish(now) }

  /* The others spend what nobody holds. */
  :: LEFT > 0 && LEFT <= TOTAL -> atomic { others++; check() }
  od
}
