use super::*;
use crate::random::{exponential, seeded_rng};
use crate::scenario::ResetMoment;

/// Creates one receiver without a rate limit, with the given service time and concurrency and a practically unbounded queue.
fn single_receiver(service_time: &str, concurrency: u32) -> (Receivers, Scenario) {
    let text = format!(
        "version = 1\nname = \"q\"\nshows = \"q\"\nlasts = \"1s\"\n[[destinations]]\nname = \"d\"\nrate = 1e9\n\
         limited = false\nplaces = {concurrency}\nqueue = 100000000\nservice = {service_time}\n[[loads]]\nrate = 1.0\n"
    );
    let scenario = Scenario::read(&text, "q").expect("the scenario is valid");
    (
        Receivers::new(&scenario, &Layout::new(&scenario), 5),
        scenario,
    )
}

/// Returns the queueing times of Poisson arrivals at the given load, sorted and in units of the mean service time, and their
/// mean.
fn queueing_times(
    service_time: &str,
    concurrency: u32,
    load: f64,
    calls: usize,
) -> (Vec<f64>, f64) {
    const MEAN_SERVICE_TIME: f64 = 1e5; // µs; far above the clock's resolution
    let (mut receivers, _) = single_receiver(service_time, concurrency);
    let mut rng = seeded_rng(11, "arrivals", 0);
    let mut now = 0.0;
    let mut times = Vec::with_capacity(calls);
    for _ in 0..calls {
        now += exponential(&mut rng) * MEAN_SERVICE_TIME / (load * f64::from(concurrency));
        let at = now as Micros;
        let starts_at = receivers.endpoints[0]
            .slots_free_at
            .peek()
            .map_or(0, |free_at| free_at.0);
        receivers.call(at, 0, 0, None);
        times.push(starts_at.saturating_sub(at) as f64 / MEAN_SERVICE_TIME);
    }
    let mean = times.iter().sum::<f64>() / calls as f64;
    times.sort_by(f64::total_cmp);
    (times, mean)
}

fn assert_close(quantity: &str, measured: f64, expected: f64, tolerance: f64) {
    assert!(
        (measured / expected - 1.0).abs() < tolerance,
        "{quantity}: measured {measured:.4}, the formula gives {expected:.4}"
    );
}

fn p99(times: &[f64]) -> f64 {
    times[times.len() * 99 / 100]
}

const CALL_COUNT: usize = 4_000_000;

/// M/M/1 with load r, in units of the mean service time: the mean wait is r/(1-r), and P(W > t) = r e^(-(1-r)t).
#[test]
fn one_slot_with_exponential_service_times_matches_mm1_queue() {
    let load = 0.7;
    let (times, mean) = queueing_times(
        r#"{ kind = "exponential", mean = "100ms" }"#,
        1,
        load,
        CALL_COUNT,
    );
    assert_close("mean", mean, load / (1.0 - load), 0.02);
    assert_close("p99", p99(&times), (100.0 * load).ln() / (1.0 - load), 0.05);
}

/// M/M/c with c slots and load r per slot, in units of the mean service time: the probability C of a wait is given by the
/// Erlang C formula, the mean wait is C/(c(1-r)), and P(W > t) = C e^(-c(1-r)t).
#[test]
fn several_slots_with_exponential_service_times_match_mmc_queue() {
    let (load, slots) = (0.8, 5u32);
    let offered_load = load * f64::from(slots);
    let term = |n: u32| {
        (1..=n)
            .map(|k| offered_load / f64::from(k))
            .product::<f64>()
    };
    let total: f64 = (0..slots).map(term).sum();
    let wait_probability = term(slots) / (1.0 - load) / (total + term(slots) / (1.0 - load));
    let (times, mean) = queueing_times(
        r#"{ kind = "exponential", mean = "100ms" }"#,
        slots,
        load,
        CALL_COUNT,
    );
    assert_close(
        "mean",
        mean,
        wait_probability / (f64::from(slots) * (1.0 - load)),
        0.02,
    );
    assert_close(
        "p99",
        p99(&times),
        (100.0 * wait_probability).ln() / (f64::from(slots) * (1.0 - load)),
        0.05,
    );
}

/// M/D/1 with load r, in units of the service time: the mean wait is r/(2(1-r)), and
/// P(W <= t) = (1-r) sum over k <= t of (r(k-t))^k / k! e^(r(t-k)) (Erlang 1909).
#[test]
fn one_slot_with_constant_service_times_matches_md1_queue() {
    let load = 0.7f64;
    let probability_below = |t: f64| {
        let term = |k: u32| {
            let x = load * (t - f64::from(k));
            let power: f64 = (1..=k).map(|i| -x / f64::from(i)).product();
            power * x.exp()
        };
        (1.0 - load) * (0..=t as u32).map(term).sum::<f64>()
    };
    let (mut low, mut high) = (0.0, 30.0);
    while high - low > 1e-6 {
        let middle = (low + high) / 2.0;
        *(if probability_below(middle) < 0.99 {
            &mut low
        } else {
            &mut high
        }) = middle;
    }
    let (times, mean) = queueing_times(
        r#"{ kind = "constant", time = "100ms" }"#,
        1,
        load,
        CALL_COUNT,
    );
    assert_close("mean", mean, load / (2.0 * (1.0 - load)), 0.02);
    assert_close("p99", p99(&times), low, 0.05);
}

/// Creates the receivers of one destination with 10 calls per second, a burst of 2, and the given further keys of the
/// scenario file.
fn receivers_with(destination_keys: &str) -> (Receivers, Scenario, Layout) {
    let text = format!(
        "version = 1\nname = \"q\"\nshows = \"q\"\nlasts = \"1s\"\n[[destinations]]\nname = \"d\"\nrate = 10.0\nburst = 2.0\n\
         {destination_keys}\nservice = {{ kind = \"constant\", time = \"10ms\" }}\n[[loads]]\nrate = 1.0\n"
    );
    let scenario = Scenario::read(&text, "q").expect("the scenario is valid");
    let layout = Layout::new(&scenario);
    (Receivers::new(&scenario, &layout, 5), scenario, layout)
}

#[test]
fn rejects_with_retry_after_over_rate_limit_and_admits_after_refill() {
    let (mut receivers, ..) = receivers_with("wait = \"300ms\"");
    let replies: Vec<ReceiverReply> = (0..3)
        .map(|_| receivers.call(0, 0, 0, None).reply)
        .collect();
    assert_eq!(
        replies,
        [
            ReceiverReply::Served,
            ReceiverReply::Served,
            ReceiverReply::TooManyRequests {
                retry_after: Some(300_000)
            }
        ]
    );
    assert_eq!(
        receivers.call(99_000, 0, 0, None).reply,
        ReceiverReply::TooManyRequests {
            retry_after: Some(300_000)
        }
    );
    assert_eq!(
        receivers.call(200_000, 0, 0, None).reply,
        ReceiverReply::Served
    );
}

#[test]
fn repeated_idempotency_key_takes_no_effect_within_retention() {
    let (mut receivers, ..) = receivers_with("limited = false");
    assert!(receivers.call(0, 0, 0, Some(7)).effect_at.is_some());
    assert!(receivers.call(50_000, 0, 0, Some(7)).effect_at.is_none());
    assert!(receivers.call(50_000, 0, 0, Some(8)).effect_at.is_some());
    assert!(
        receivers
            .call(500_000_000, 0, 0, Some(7))
            .effect_at
            .is_some(),
        "the key is forgotten after its retention, so the call takes effect again"
    );
    assert_eq!(receivers.entry_count(), 1);
}

#[test]
fn endpoint_fails_from_overload_while_it_warms_up() {
    for had_seen_failure in [true, false] {
        let (mut receivers, ..) = receivers_with("limited = false");
        receivers.set_fault(0, 0, &FaultKind::Refusing, 1_000_000, &[0], true);
        if had_seen_failure {
            assert_eq!(
                receivers.call(500_000, 0, 1, None).reply,
                ReceiverReply::Refused
            );
        }
        receivers.set_fault(1_000_000, 0, &FaultKind::Refusing, 1_000_000, &[0], false);
        // The overload limit is 2 x 0.2 x 10 calls/s x 2 s = 8, plus 2 sqrt(8) + 4 for random variation of the arrivals.
        let admitted = (0..40).take_while(|n| {
            receivers.call(1_000_000 + n * 1000, 0, 1, None).reply != ReceiverReply::Refused
        });
        assert_eq!(admitted.count(), 18);
        assert_eq!(
            receivers
                .overload_failures
                .iter()
                .map(|failure| failure.caused_by_witnesses)
                .collect::<Vec<_>>(),
            [had_seen_failure]
        );
        assert!(
            receivers.refuses_connections(900_000_000, 0),
            "an endpoint that failed from overload stays down"
        );
    }
}

#[test]
fn congestion_persists_after_its_fault_until_the_queue_is_empty() {
    let (mut receivers, ..) = receivers_with("limited = false\nplaces = 1\nqueue = 1000");
    receivers.set_fault(0, 0, &FaultKind::Jam { times: 10.0 }, 1, &[0], true);
    (0..3).for_each(|_| _ = receivers.call(0, 0, 0, None));
    receivers.set_fault(1, 0, &FaultKind::Jam { times: 10.0 }, 1, &[0], false);
    for n in 1..20 {
        let at = n * 50_000; // each call takes 100 ms, so the queue grows
        assert!(
            receivers.call(at, 0, 0, None).reply_at > at + 100_000,
            "call {n} is queued behind the earlier ones"
        );
    }
    assert_eq!(
        receivers.call(100_000_000, 0, 0, None).reply_at,
        100_010_000
    );
}

#[test]
fn each_fault_determines_the_reply_and_the_effect() {
    let half = |rate| rate;
    let cases = [
        (FaultKind::Refusing, ReceiverReply::Refused, false),
        (FaultKind::Silent, ReceiverReply::Silent, false),
        (
            FaultKind::Erring { rate: half(1.0) },
            ReceiverReply::InternalError,
            false,
        ),
        (
            FaultKind::Reset {
                rate: 1.0,
                moment: ResetMoment::Before,
            },
            ReceiverReply::ClosedEarly,
            false,
        ),
        (
            FaultKind::Reset {
                rate: 1.0,
                moment: ResetMoment::Within,
            },
            ReceiverReply::Reset,
            true,
        ),
        (
            FaultKind::Reset {
                rate: 1.0,
                moment: ResetMoment::After,
            },
            ReceiverReply::ServedThenReset,
            true,
        ),
        (
            FaultKind::AnswerLost { rate: 1.0 },
            ReceiverReply::Silent,
            true,
        ),
        (
            FaultKind::Garbled { rate: 1.0 },
            ReceiverReply::Garbled,
            true,
        ),
        (
            FaultKind::Endless { rate: 1.0 },
            ReceiverReply::Endless,
            true,
        ),
        (
            FaultKind::EndlessErrors { rate: 1.0 },
            ReceiverReply::EndlessError,
            true,
        ),
        (
            FaultKind::Shut,
            ReceiverReply::TooManyRequests {
                retry_after: Some(9_000_000),
            },
            false,
        ),
    ];
    for (kind, reply, takes_effect) in cases {
        let (mut receivers, ..) = receivers_with("limited = false");
        receivers.set_fault(0, 0, &kind, 10_000_000, &[0], true);
        let result = receivers.call(1_000_000, 0, 0, None);
        assert_eq!(
            (result.reply, result.effect_at.is_some()),
            (reply, takes_effect),
            "reply and effect under {kind:?}"
        );
        receivers.set_fault(10_000_000, 0, &kind, 10_000_000, &[0], false);
        assert_eq!(
            receivers.call(10_000_000, 0, 0, None).reply,
            ReceiverReply::Served,
            "the endpoint serves again after {kind:?}"
        );
    }
    let (mut receivers, ..) = receivers_with("limited = false");
    receivers.set_fault(0, 0, &FaultKind::Slow { times: 3.0 }, 1, &[0], true);
    receivers.set_fault(
        0,
        1,
        &FaultKind::Brownout { capacity_left: 0.5 },
        1,
        &[0],
        true,
    );
    assert_eq!(
        receivers.call(0, 0, 0, None).reply_at,
        60_000,
        "slowdown and brownout multiply"
    );
}
