use super::*;
use crate::chance::{exponential, stream};
use crate::scenario::ResetMoment;

/// One receiver that takes everything, with this service and so many places.
fn alone(service: &str, places: u32) -> (Receivers, Scenario) {
    let text = format!(
        "version = 1\nname = \"q\"\nshows = \"q\"\nlasts = \"1s\"\n[[destinations]]\nname = \"d\"\nrate = 1e9\n\
         limited = false\nplaces = {places}\nqueue = 100000000\nservice = {service}\n[[loads]]\nrate = 1.0\n"
    );
    let scenario = Scenario::read(&text, "q").expect("it is right");
    (
        Receivers::new(&scenario, &Layout::new(&scenario), 5),
        scenario,
    )
}

/// Waits of Poisson calls at a load, in units of the mean service time, sorted; and their mean.
fn waits(service: &str, places: u32, load: f64, calls: usize) -> (Vec<f64>, f64) {
    const MEAN: f64 = 1e5; // µs: far over the clock's grain
    let (mut receivers, _) = alone(service, places);
    let mut rng = stream(11, "arrivals", 0);
    let mut now = 0.0;
    let mut waits = Vec::with_capacity(calls);
    for _ in 0..calls {
        now += exponential(&mut rng) * MEAN / (load * f64::from(places));
        let at = now as Micros;
        let before = receivers.endpoints[0].free_at.peek().map_or(0, |p| p.0);
        receivers.call(at, 0, 0, None);
        waits.push(before.saturating_sub(at) as f64 / MEAN);
    }
    let mean = waits.iter().sum::<f64>() / calls as f64;
    waits.sort_by(f64::total_cmp);
    (waits, mean)
}

fn near(what: &str, found: f64, wanted: f64, within: f64) {
    assert!(
        (found / wanted - 1.0).abs() < within,
        "{what}: {found:.4}, the formula says {wanted:.4}"
    );
}

fn p99(waits: &[f64]) -> f64 {
    waits[waits.len() * 99 / 100]
}

const CALLS: usize = 4_000_000;

/// M/M/1: mean wait r/(1-r) services; P(W > t) = r e^(-(1-r)t).
#[test]
fn one_place_with_exponential_times_is_an_mm1_queue() {
    let load = 0.7;
    let (waits, mean) = waits(
        r#"{ kind = "exponential", mean = "100ms" }"#,
        1,
        load,
        CALLS,
    );
    near("mean", mean, load / (1.0 - load), 0.02);
    near("p99", p99(&waits), (100.0 * load).ln() / (1.0 - load), 0.05);
}

/// M/M/c: P(wait) by Erlang's C; mean C/(c(1-r)); P(W > t) = C e^(-c(1-r)t).
#[test]
fn several_places_with_exponential_times_are_an_mmc_queue() {
    let (load, c) = (0.8, 5u32);
    let a = load * f64::from(c);
    let term = |n: u32| (1..=n).map(|k| a / f64::from(k)).product::<f64>();
    let all: f64 = (0..c).map(term).sum();
    let erlang = term(c) / (1.0 - load) / (all + term(c) / (1.0 - load));
    let (waits, mean) = waits(
        r#"{ kind = "exponential", mean = "100ms" }"#,
        c,
        load,
        CALLS,
    );
    near("mean", mean, erlang / (f64::from(c) * (1.0 - load)), 0.02);
    near(
        "p99",
        p99(&waits),
        (100.0 * erlang).ln() / (f64::from(c) * (1.0 - load)),
        0.05,
    );
}

/// M/D/1: mean r/(2(1-r)); P(W <= t) = (1-r) sum over k <= t of (r(k-t))^k / k! e^(r(t-k)), in services (Erlang 1909).
#[test]
fn one_place_with_constant_times_is_an_md1_queue() {
    let load = 0.7f64;
    let below = |t: f64| {
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
        *(if below(middle) < 0.99 {
            &mut low
        } else {
            &mut high
        }) = middle;
    }
    let (waits, mean) = waits(r#"{ kind = "constant", time = "100ms" }"#, 1, load, CALLS);
    near("mean", mean, load / (2.0 * (1.0 - load)), 0.02);
    near("p99", p99(&waits), low, 0.05);
}

fn world(more: &str) -> (Receivers, Scenario, Layout) {
    let text = format!(
        "version = 1\nname = \"q\"\nshows = \"q\"\nlasts = \"1s\"\n[[destinations]]\nname = \"d\"\nrate = 10.0\nburst = 2.0\n\
         {more}\nservice = {{ kind = \"constant\", time = \"10ms\" }}\n[[loads]]\nrate = 1.0\n"
    );
    let scenario = Scenario::read(&text, "q").expect("it is right");
    let layout = Layout::new(&scenario);
    (Receivers::new(&scenario, &layout, 5), scenario, layout)
}

#[test]
fn above_its_limit_it_tells_to_wait_and_takes_again_in_time() {
    let (mut r, ..) = world("wait = \"300ms\"");
    let says: Vec<ReceiverReply> = (0..3).map(|_| r.call(0, 0, 0, None).says).collect();
    assert_eq!(
        says,
        [
            ReceiverReply::Served,
            ReceiverReply::Served,
            ReceiverReply::TooManyRequests {
                wait: Some(300_000)
            }
        ]
    );
    assert_eq!(
        r.call(99_000, 0, 0, None).says,
        ReceiverReply::TooManyRequests {
            wait: Some(300_000)
        }
    );
    assert_eq!(r.call(200_000, 0, 0, None).says, ReceiverReply::Served);
}

#[test]
fn a_repeat_that_it_knows_takes_no_effect() {
    let (mut r, ..) = world("limited = false");
    assert!(r.call(0, 0, 0, Some(7)).ran.is_some());
    assert!(r.call(50_000, 0, 0, Some(7)).ran.is_none());
    assert!(r.call(50_000, 0, 0, Some(8)).ran.is_some());
    assert!(
        r.call(500_000_000, 0, 0, Some(7)).ran.is_some(),
        "forgotten after twice the window"
    );
    assert_eq!(r.held(), 1);
}

#[test]
fn back_from_an_outage_it_falls_over_under_more_than_it_can_do() {
    for knew in [true, false] {
        let (mut r, ..) = world("limited = false");
        r.set_fault(0, 0, &FaultKind::Refusing, 1_000_000, &[0], true);
        if knew {
            assert_eq!(r.call(500_000, 0, 1, None).says, ReceiverReply::Refused);
        }
        r.set_fault(1_000_000, 0, &FaultKind::Refusing, 1_000_000, &[0], false);
        // 2 x 0.2 x 10 a second x 2 s = 8, and 2 sqrt(8) + 4 for chance.
        let reached = (0..40).take_while(|n| {
            r.call(1_000_000 + n * 1000, 0, 1, None).says != ReceiverReply::Refused
        });
        assert_eq!(reached.count(), 18);
        assert_eq!(r.falls.iter().map(|f| f.blamed).collect::<Vec<_>>(), [knew]);
        assert!(r.refuses(900_000_000, 0), "it stays down");
    }
}

#[test]
fn a_jam_outlives_its_trigger_until_the_queue_is_empty() {
    let (mut r, ..) = world("limited = false\nplaces = 1\nqueue = 1000");
    r.set_fault(0, 0, &FaultKind::Jam { times: 10.0 }, 1, &[0], true);
    (0..3).for_each(|_| _ = r.call(0, 0, 0, None));
    r.set_fault(1, 0, &FaultKind::Jam { times: 10.0 }, 1, &[0], false);
    for n in 1..20 {
        let at = n * 50_000; // it takes 100 ms a call: the queue grows
        assert!(r.call(at, 0, 0, None).at > at + 100_000, "call {n}");
    }
    assert_eq!(r.call(100_000_000, 0, 0, None).at, 100_010_000);
}

#[test]
fn each_fault_shows_in_what_comes_back() {
    let half = |rate| rate;
    let cases = [
        (FaultKind::Refusing, ReceiverReply::Refused, false),
        (FaultKind::Silent, ReceiverReply::Silent, false),
        (
            FaultKind::Erring { rate: half(1.0) },
            ReceiverReply::Erred,
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
            FaultKind::Shut,
            ReceiverReply::TooManyRequests {
                wait: Some(9_000_000),
            },
            false,
        ),
    ];
    for (what, says, ran) in cases {
        let (mut r, ..) = world("limited = false");
        r.set_fault(0, 0, &what, 10_000_000, &[0], true);
        let fate = r.call(1_000_000, 0, 0, None);
        assert_eq!((fate.says, fate.ran.is_some()), (says, ran), "{what:?}");
        r.set_fault(10_000_000, 0, &what, 10_000_000, &[0], false);
        assert_eq!(
            r.call(10_000_000, 0, 0, None).says,
            ReceiverReply::Served,
            "after {what:?}"
        );
    }
    let (mut r, ..) = world("limited = false");
    r.set_fault(0, 0, &FaultKind::Slow { times: 3.0 }, 1, &[0], true);
    r.set_fault(
        0,
        1,
        &FaultKind::Brownout { capacity_left: 0.5 },
        1,
        &[0],
        true,
    );
    assert_eq!(r.call(0, 0, 0, None).at, 60_000, "they compose");
}
