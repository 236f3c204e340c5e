/* The two-step start of a request that is not idempotent.
 * mutants: RESEND_AFTER_GO RUN_WITHOUT_GO GO_AFTER_REFUSAL RUN_PARTIAL_BODY
 *
 * One ingress offers the request to each of two egresses in turn. Messages may be lost or
 * doubled; any side may give up at any time (a timeout, a cut, a pause); an egress may crash.
 * States and events have the names of src/ingress/attempt_machine.rs and
 * src/egress/start_machine.rs.
 *
 * A long body follows go in a message of its own. The egress runs the request when it has both.
 *
 * Holds: the request runs at most once, never once the caller was told "not run", and never with a
 * part of its body.
 */

#define EGRESSES 2

mtype = { offer, ready, go, rest, refused, failed, answered };
mtype = { unsent, offered, go_sent };
mtype = { idle, waiting, held, receiving, running, refused_state };
mtype = { not_run, may_have_run, ran_verdict, no_verdict };

chan to_egress[EGRESSES] = [2] of { mtype };
chan to_ingress[EGRESSES] = [2] of { mtype };

byte ran = 0;
bool is_long;
mtype verdict = no_verdict;

/* Sends where there is room; a full channel loses the message. */
inline say(channel, message) {
    atomic {
        if
        :: nfull(channel) -> channel ! message
        :: true -> skip
        fi
    }
}

inline run_request() {
    ran++;
    assert(ran <= 1);
    assert(verdict != not_run);
    assert(is_whole);
}

proctype Egress(byte self) {
    mtype state = idle;
    mtype heard;
    bool is_whole = !is_long;
end:
    do
    :: to_egress[self] ? heard ->
        if
        :: heard == offer && state == idle -> state = waiting
#ifdef MUTANT_RUN_PARTIAL_BODY
        :: heard == go && state == held -> state = running; run_request()
#else
        :: heard == go && state == held && is_whole -> state = running; run_request()
        :: heard == go && state == held && !is_whole -> state = receiving
        :: heard == rest && state == receiving ->
            is_whole = true;
            state = running;
            run_request()
#endif
#ifdef MUTANT_GO_AFTER_REFUSAL
        :: heard == go && state == refused_state -> state = running; run_request()
#endif
        :: else -> skip
        fi
    /* A message is doubled on its way, or lost. */
    :: atomic {
        nempty(to_egress[self]) && nfull(to_egress[self]) ->
        to_egress[self] ? <heard>;
        to_egress[self] ! heard
    }
    :: to_egress[self] ? heard
    /* SlotGranted */
    :: state == waiting ->
#ifdef MUTANT_RUN_WITHOUT_GO
        state = running; run_request()
#else
        state = held; say(to_ingress[self], ready)
#endif
    /* QueueRefused, EgressStopped, or the hold or the deadline has passed: Refuse */
    :: state == waiting || state == held || state == receiving ->
        state = refused_state; say(to_ingress[self], refused)
    /* StreamLost, or a crash: Abandon */
    :: state == waiting || state == held || state == receiving -> state = refused_state
    /* The instance answers, or breaks off. */
    :: state == running -> say(to_ingress[self], answered); break
    :: state == running -> say(to_ingress[self], failed); break
    od
}

proctype Ingress() {
    byte attempt = 0;
    mtype state;
    mtype heard;
    do
    :: attempt == EGRESSES -> verdict = not_run; break
    :: attempt < EGRESSES ->
        state = unsent;
        if
        :: state = offered; say(to_egress[attempt], offer)
        :: skip /* no connection */
        fi;
        do
        :: to_ingress[attempt] ? heard ->
            if
            :: heard == ready && state == offered ->
                state = go_sent;
                say(to_egress[attempt], go);
                if
                :: is_long -> say(to_egress[attempt], rest)
                :: else -> skip
                fi
            :: heard == refused -> break
            :: heard == failed -> verdict = may_have_run; break
            :: heard == answered -> verdict = ran_verdict; break
            :: else -> skip
            fi
        /* Lost: silence proves only what the state says. */
        :: state == unsent || state == offered -> break
        :: state == go_sent ->
#ifndef MUTANT_RESEND_AFTER_GO
            verdict = may_have_run;
#endif
            break
        od;
        if
        :: verdict != no_verdict -> break
        :: else -> attempt++
        fi
    od
}

init {
    atomic {
        if
        :: is_long = true
        :: is_long = false
        fi;
        run Egress(0);
        run Egress(1);
        run Ingress()
    }
}
