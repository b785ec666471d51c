/*
 * Who may grant on a platform with a store (docs/platform.md, section "Who may
 * grant"): claims by conditional append, the mandate of a leader without the
 * store, the wait for earlier leaders, and moves of one key between two servers.
 *
 * Leader e is host e-1 and holds epoch e. No step is ever forced except the
 * passing of time, so the following are covered by steps that are not taken: a
 * store that is away for all hosts or for some, appends that are unanswered or
 * carried out late, a leader that is cut off, paused or ended, lost datagrams,
 * lost answers of servers, and the loss of all hosts.
 *
 * Timers count down by one per tick. Defines that start with WEAK_ remove a
 * rule and must be caught; defines that start with REACH_ claim that a
 * situation never occurs and must be refuted.
 */

#ifndef E
#define E 2             /* leaders, one after the other; three exceed the memory of a search */
#endif
#ifndef H
#define H 3             /* hosts */
#endif
#ifndef A
#define A 1             /* a leader acts alone for A after its last proof (2.5 s) */
#endif
#ifndef U
#define U 3             /* and with a majority of its list for U (10 s) */
#endif
#ifndef W
#define W 1             /* a message of a follower counts for W (1.5 s) */
#endif
#ifndef F
#define F 1             /* a grant arrives within F or never (250 ms) */
#endif
#ifndef X
#define X 1             /* duration of a grant (2.2 s) */
#endif
#ifndef FIRST
#define FIRST 7         /* list of leader 1 at the start, as a bit mask */
#endif
#ifndef MOVES
#define MOVES 1         /* bound of the search: moves of the key */
#endif

#define BIT(h)          (1 << (h))
#define ONES(m)         (((m)&1) + (((m)>>1)&1) + (((m)>>2)&1))
#define MAJORITY(m, of) (ONES(m) > ONES(of) / 2)
#define AT(e, h)        ((e)*H + (h))
#define PAIR(e, j)      ((e)*(E+1) + (j))

/* The store: the record of the leader and the table. */
byte cur = 1;           /* epoch of the record */
byte list[E+1];         /* list of hosts, as a bit mask; 0 for none */
byte prior[E+1];        /* earlier leaders that may still act, as a bit mask of epochs */
byte tab = 0;           /* server that the table names */
byte moves = 0;
#ifdef LISTS
byte lists = 0;         /* lists written by leaders, at most LISTS */
#endif

/* Each leader. */
bool act[E+1];          /* it leads, as far as it knows */
byte pf[E+1];           /* rest of A since its last proof */
byte au[E+1];           /* rest of U since its last proof */
byte counted[E+1];      /* list on which it counts; 0 for none */
byte pend[E+1];         /* list of an append that is not answered; 0 for none */
bool applied[E+1];      /* that append is in the store */
byte hd[(E+1)*H];       /* rest of W since a host was heard to follow */
byte known[E+1];        /* table as the leader knows it */
byte former[E+1];       /* earlier leaders of its claim, as a bit mask */
byte formerlist[(E+1)*(E+1)];
byte rA[E+1];           /* rest of A+F since the claim was answered */
byte rU[E+1];           /* rest of U+F since then */
byte ended[(E+1)*(E+1)]; /* 0: may act, 1: lost its majority, 2: follows */
byte rE[(E+1)*(E+1)];   /* rest of the wait after that */
byte rX[E+1];           /* rest of X since no grant of an earlier leader arrives */
bool secured[E+1];      /* the server has seen a fence of this leader */
byte may[E+1];          /* rest of the time for which its grants may hold */
bool freed[E+1];        /* no server holds the key */
byte mv[E+1];           /* 1: append of a move under way, 2: it is in the store */

/* Each host: the epoch that it follows. */
byte fol[H];

/* One grant under way per leader: server + 1, or 0; and the rest of F. */
byte to[E+1];
byte fl[E+1];
bool doubt[E+1];        /* a grant may be under way, as far as the leader knows */

/* The servers. */
byte hold[2];
byte fence[2];

#ifdef RESTART
byte restarts = 0;
bool failed[(E+1)*2];   /* the connection to the server ended since the last proof */
#define TRUSTED(e, s)   (!failed[(e)*2+(s)])
#else
#define TRUSTED(e, s)   true
#endif

bool started[E+1];      /* the claim was answered */

byte i, j, f;           /* scratch */

/* followers of leader e within a list: itself, and the hosts heard in time */
inline followers(e, mask) {
    f = 0; i = 0;
    do
    :: i < H ->
        if
        :: (mask & BIT(i)) && (i == e-1 || hd[AT(e,i)] > 0) -> f = f | BIT(i)
        :: else
        fi;
        i++
    :: else -> break
    od;
    i = 0
}

#define ALONE(e)        (pf[e] > 0)
#ifdef WEAK_NO_AUTONOMY_END
#define LONG(e)         true
#else
#define LONG(e)         (au[e] > 0)
#endif

/* An earlier leader j sends no grant any more that arrives, as leader e knows. */
#define OVER(e, j)      (!(former[e] & BIT(j)) || rU[e] == 0 || \
    (ended[PAIR(e,j)] == 2 && rE[PAIR(e,j)] == 0) || \
    (formerlist[PAIR(e,j)] == 0 && rA[e] == 0) || \
    (ended[PAIR(e,j)] == 1 && rA[e] == 0 && rE[PAIR(e,j)] == 0))
#if E == 3
#define ALLOVER(e)      (OVER(e,1) && OVER(e,2))
#else
#define ALLOVER(e)      OVER(e,1)
#endif

inline proof(e) {
    pf[e] = A; au[e] = U;
#ifdef RESTART
    failed[(e)*2] = false; failed[(e)*2+1] = false
#endif
}

/* Leader e leads no longer. Its grants and appends may still be carried out. */
inline stop(e) {
    act[e] = false;
    pf[e] = 0; au[e] = 0; counted[e] = 0; known[e] = 0; former[e] = 0;
    rA[e] = 0; rU[e] = 0; rX[e] = 0; may[e] = 0;
    secured[e] = false; freed[e] = false; doubt[e] = false;
    j = 0;
    do
    :: j < H -> hd[AT(e,j)] = 0; j++
    :: else -> break
    od;
    j = 0;
    do
    :: j <= E -> formerlist[PAIR(e,j)] = 0; ended[PAIR(e,j)] = 0; rE[PAIR(e,j)] = 0; j++
    :: else -> break
    od;
    j = 0;
    if
    :: pend[e] != 0 && applied[e] -> pend[e] = 0; applied[e] = false
    :: else
    fi;
    if
    :: mv[e] == 2 -> mv[e] = 0
    :: else
    fi
}

/* The claim of leader e is answered: it starts. */
inline start(e) {
    act[e] = true; started[e] = true;
    fol[e-1] = e;
    proof(e);
    known[e] = tab;
    former[e] = prior[e];
    rA[e] = A + F; rU[e] = U + F; rX[e] = X;
    j = 1;
    do
    :: j < e -> formerlist[PAIR(e,j)] = list[j]; j++
    :: else -> break
    od;
    j = 0
}

proctype leader(byte e) {
    do
    /* The store shows this leader its record. */
    :: atomic { act[e] && cur == e -> proof(e) }

#ifdef LISTS
    /* The record is written with the hosts that follow. */
    :: atomic { act[e] && lists < LISTS && e < E && pend[e] == 0 && mv[e] == 0 && cur == e ->
        followers(e, 7);
        lists++;
        pend[e] = f; applied[e] = false;
#ifndef WEAK_KEEP_LIST
        counted[e] = 0;
#else
        counted[e] = f;
#endif
        f = 0 }
    :: atomic { pend[e] != 0 && !applied[e] && cur == e ->
        list[e] = pend[e]; applied[e] = true;
        /* Earlier leaders whose end is certain are left out. */
        j = 1;
        do
        :: j < e ->
            if
            :: OVER(e, j) -> prior[e] = prior[e] & ~BIT(j)
            :: else
            fi;
            j++
        :: else -> break
        od;
        j = 0 }
    :: atomic { act[e] && pend[e] != 0 && applied[e] && cur == e ->
        counted[e] = pend[e]; pend[e] = 0; applied[e] = false; proof(e) }
#endif

    /* A grant is sent to the server that the table names. */
    :: atomic { act[e] && to[e] == 0 && !freed[e] && mv[e] == 0 && TRUSTED(e, known[e]) ->
        followers(e, counted[e]);
        if
        :: ALONE(e) || (LONG(e) && counted[e] != 0 && MAJORITY(f, counted[e])) ->
            to[e] = known[e] + 1; fl[e] = F; doubt[e] = true;
            may[e] = F + X;
#ifdef REACH_AUTONOMY
            assert(ALONE(e));
#endif
        :: else
        fi;
        f = 0 }
    /* It arrives, and is answered or not. */
    :: atomic { to[e] != 0 ->
        if
#ifndef WEAK_NO_FENCE
        :: e >= fence[to[e]-1] ->
#else
        :: true ->
#endif
            hold[to[e]-1] = X;
            fence[to[e]-1] = e;
            assert(hold[0] == 0 || hold[1] == 0);
            if
            :: act[e] && known[e] == to[e]-1 && !freed[e] -> secured[e] = true; doubt[e] = false; may[e] = X
            :: true
            fi
#ifndef WEAK_NO_FENCE
        :: else
#endif
        fi;
        to[e] = 0 }
    /* Its connection is reset; the leader learns no more than that. */
    :: atomic { to[e] != 0 -> to[e] = 0 }

    /* A release is answered. */
#ifndef WEAK_RELEASE_IN_DOUBT
    :: atomic { act[e] && secured[e] && !freed[e] && !doubt[e] && to[e] == 0 && fence[known[e]] == e ->
#else
    :: atomic { act[e] && secured[e] && !freed[e] && fence[known[e]] == e ->
#endif
        hold[known[e]] = 0; freed[e] = true }
    /* The server does not answer; its hold runs out. */
    :: atomic { act[e] && !freed[e] && may[e] == 0 && to[e] == 0 &&
#ifndef WEAK_NO_WAIT_FOR_RIVALS
        (secured[e] || e == 1 || (ALLOVER(e) && rX[e] == 0)) ->
#else
        true ->
#endif
        freed[e] = true;
#ifdef REACH_EARLY
        assert(e == 1 || secured[e] || rU[e] == 0)
#endif
        }

    /* The key moves: first the append, then the grant. */
    :: atomic { act[e] && freed[e] && mv[e] == 0 && pend[e] == 0 && moves < MOVES ->
        mv[e] = 1; moves++ }
    :: atomic { mv[e] == 1 && cur == e -> tab = 1 - known[e]; mv[e] = 2 }
    :: atomic { act[e] &&
#ifndef WEAK_GRANT_BEFORE_STORE
        mv[e] == 2 && cur == e ->
#else
        mv[e] != 0 ->
#endif
        known[e] = 1 - known[e]; mv[e] = 0; freed[e] = false; secured[e] = true; doubt[e] = false; may[e] = 0;
        proof(e);
#ifdef REACH_MOVE
        assert(e < E)
#endif
        }

    /* The process ends. */
    :: atomic { act[e] -> stop(e) }
    od
}

/* Another host claims the lead after leader e. */
proctype claims(byte e) {
    do
    :: atomic { cur == e ->
        cur = e + 1;
        prior[e+1] = prior[e] | BIT(e)
        }
    :: atomic { cur == e+1 && !started[e+1] -> start(e+1) }
    od
}

/* A host follows leader e, and tells it so. */
proctype follows(byte e; byte h) {
    do
#ifndef WEAK_FOLLOW_BACK
    :: atomic { act[e] && fol[h] < e ->
#else
    :: atomic { act[e] && fol[h] != e ->
#endif
        fol[h] = e;
        if
        :: h + 1 < e && act[h+1] -> stop(h+1)
        :: else
        fi }
    :: atomic { act[e] && fol[h] == e ->
        hd[AT(e,h)] = W;
        if
        :: (former[e] & BIT(h+1)) && ended[PAIR(e,h+1)] != 2 ->
            ended[PAIR(e,h+1)] = 2; rE[PAIR(e,h+1)] = F
        :: else
        fi;
        j = 1;
        do
        :: j < e ->
            followers(e, formerlist[PAIR(e,j)]);
            if
            :: (former[e] & BIT(j)) && ended[PAIR(e,j)] == 0 && formerlist[PAIR(e,j)] != 0 && MAJORITY(f, formerlist[PAIR(e,j)]) ->
                ended[PAIR(e,j)] = 1;
#ifndef WEAK_NO_WINDOW
                rE[PAIR(e,j)] = W + F
#else
                rE[PAIR(e,j)] = F
#endif
            :: else
            fi;
            j++
        :: else -> break
        od;
        j = 0; f = 0 }
    od
}

#define DOWN(t)         t = (t > 0 -> t - 1 : 0)

/* A tick passes; a grant that is under way for F has arrived or never does. */
inline tick() {
    atomic {
        i = 1;
        do
        :: i <= E ->
#ifndef WEAK_NO_FLIGHT_END
            if
            :: to[i] != 0 && fl[i] == 0 -> to[i] = 0
            :: else
            fi;
#endif
            DOWN(fl[i]);
            if
            :: act[i] && i > 1 && ALLOVER(i) -> DOWN(rX[i])
            :: else
            fi;
            DOWN(pf[i]); DOWN(au[i]); DOWN(rA[i]); DOWN(rU[i]); DOWN(may[i]);
            j = 1;
            do
            :: j <= E -> DOWN(rE[PAIR(i,j)]); j++
            :: else -> break
            od;
            j = 0;
            do
            :: j < H -> DOWN(hd[AT(i,j)]); j++
            :: else -> break
            od;
            j = 0;
            i++
        :: else -> break
        od;
        i = 0;
        DOWN(hold[0]); DOWN(hold[1])
    }
}

#ifdef RESTART
/* A server starts again: it holds nothing and has seen no fence. Every leader
 * sees the end of its connection. */
proctype restart(byte s) {
    do
    :: atomic { restarts < 1 ->
        restarts++;
        hold[s] = 0; fence[s] = 0;
        i = 1;
        do
        :: i <= E ->
            if
            :: to[i] == s+1 -> to[i] = 0
            :: else
            fi;
#ifndef WEAK_GRANT_WITHOUT_LATER_PROOF
            failed[i*2+s] = true;
#endif
            i++
        :: else -> break
        od;
        i = 0 }
    od
}
#endif

proctype clock() {
    do
    :: tick()
    od
}

init {
    atomic {
        act[1] = true; started[1] = true; proof(1);
        list[1] = FIRST; counted[1] = FIRST;
        fol[0] = 1; fol[1] = 1; fol[2] = 1;
        run leader(1); run leader(2);
        run claims(1);
        run follows(1, 1); run follows(1, 2);
        run follows(2, 0); run follows(2, 2);
#if E == 3
        run leader(3);
        run claims(2);
        run follows(3, 0); run follows(3, 1);
#endif
#ifdef RESTART
        run restart(0); run restart(1);
#endif
        run clock()
    }
}
