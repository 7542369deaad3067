use super::*;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const MS: Micros = 1_000;
const TIMEOUT: Micros = 2_000 * MS;
const WITHIN: Micros = 10_000 * MS;

pub(crate) fn config(forwarders: u32) -> Config {
    Config {
        fleet_size: forwarders,
        poll_interval: Some(WITHIN),
        ..Config::default()
    }
}

/// The list poller of one forwarder, with its alarms.
struct PollingForwarder {
    list_poller: ListPoller,
    config: Config,
    rng: Pcg64Mcg,
    alarm: Option<Micros>,
}

impl PollingForwarder {
    fn new(forwarders: u32, seed: u64) -> PollingForwarder {
        PollingForwarder::under(config(forwarders), seed)
    }

    fn under(config: Config, seed: u64) -> PollingForwarder {
        let (rng, forwarders) = (Pcg64Mcg::seed_from_u64(seed), config.fleet_size);
        let mut poller = PollingForwarder {
            list_poller: ListPoller::default(),
            config,
            rng,
            alarm: None,
        };
        let asked = poller.show(
            0,
            Event::EndpointList(EndpointListUpdate::Cached(Vec::new())),
        );
        assert!(forwarders == 1 || !asked || poller.alarm == Some(0));
        poller
    }

    /// Whether it asks.
    fn show(&mut self, now: Micros, event: Event) -> bool {
        let mut actions = Vec::new();
        self.list_poller
            .handle(now, &event, &self.config, &mut self.rng, &mut actions);
        for action in &actions {
            if let Action::SetTimer { after, .. } = action {
                self.alarm = Some(now + after);
            }
        }
        actions.contains(&Action::WatchEndpointList { on: true })
    }

    fn rings(&mut self, now: Micros) -> bool {
        self.alarm.take_if(|at| *at <= now).is_some()
            && self.show(now, Event::TimerFired { token: POLL_TIMER })
    }
}

/// A discovery that works off one call after the other, turns away what would wait longer than three time-outs, and
/// spends its time on calls that nobody waits for any more. Gives when each forwarder was answered.
fn told(forwarders: u32, call: Micros, seed: u64, until: Micros) -> Vec<Option<Micros>> {
    let mut fleet: Vec<PollingForwarder> = (0..forwarders)
        .map(|n| PollingForwarder::new(forwarders, seed << 32 | u64::from(n)))
        .collect();
    let mut answered = vec![None; fleet.len()];
    let mut fails = vec![None; fleet.len()];
    let mut free = 0;
    for now in (0..until).step_by(MS as usize) {
        for (n, poller) in fleet.iter_mut().enumerate() {
            if poller.rings(now) {
                let done = free.max(now) + call;
                if done - now > 3 * TIMEOUT {
                    fails[n] = Some(now + 20 * MS);
                    continue;
                }
                free = done;
                match done - now <= TIMEOUT {
                    true => answered[n] = Some(done),
                    false => fails[n] = Some(now + TIMEOUT),
                }
            }
            if fails[n].take_if(|at| *at <= now).is_some() {
                poller.show(now, Event::EndpointList(EndpointListUpdate::Failed));
            }
        }
    }
    answered
}

/// A fleet that starts at once hears its list, however slow discovery is. Calls made again each second are never heard.
#[test]
fn a_fleet_that_starts_at_once_hears_its_list() {
    for (forwarders, call) in [
        (3, 500 * MS),
        (100, 20 * MS),
        (100, 80 * MS),
        (300, 25 * MS),
    ] {
        for seed in 0..5 {
            let answered = told(forwarders, call, seed, 30_000 * MS);
            let late = answered
                .iter()
                .filter(|at| at.is_none_or(|at| at > 25_000 * MS))
                .count();
            assert!(
                late * 50 <= forwarders as usize,
                "{forwarders}, {call} µs: {late} not told in 25 s"
            );
        }
    }
}

#[test]
fn the_first_call_comes_within_what_the_rules_want_and_a_lone_one_at_once() {
    for forwarders in [1, 2, 50, 100_000] {
        let wait = PollingForwarder::new(forwarders, 1)
            .alarm
            .expect("it is put off");
        assert!(
            wait <= WITHIN / 2 && (forwarders > 1 || wait == 0),
            "{forwarders}: {wait}"
        );
    }
}

#[test]
fn failures_in_a_row_lengthen_the_wait_up_to_the_interval_and_a_call_that_held_ends_the_row() {
    for forwarders in [1, 100] {
        let mut poller = PollingForwarder::new(forwarders, 2);
        let mut now = poller.alarm.expect("it is put off");
        let mut waits = Vec::new();
        for _ in 0..40 {
            poller.rings(now);
            now += TIMEOUT;
            poller.show(now, Event::EndpointList(EndpointListUpdate::Failed));
            waits.push(poller.alarm.expect("it is put off") - now);
            now += waits[waits.len() - 1];
        }
        assert!(waits.iter().all(|w| *w <= WITHIN && *w > 0), "{waits:?}");
        assert!(waits.iter().any(|w| *w >= WITHIN / 2), "{waits:?}");
        poller.rings(now);
        poller.show(
            now + 2 * WITHIN,
            Event::EndpointList(EndpointListUpdate::Failed),
        );
        assert_eq!(poller.list_poller.consecutive_failures, 1);
    }
}

/// The protocol of sockets: news count as told so long after discovery had them and could be reached.
const TOLD: Micros = 6_000 * MS;

/// A discovery that falls silent, with all that the fleet's calls meet there.
#[derive(Clone, Copy)]
struct Outage {
    forwarders: u32,
    /// µs of discovery's time a call.
    call: Micros,
    /// It turns away, at once, what would wait for longer.
    line: Micros,
    down: Micros,
    notified_within: Option<Micros>,
    silence: Micros,
    /// An answer to a call that was given up is heard all the same, up to so long after the call.
    heard_until: Micros,
}

/// What became of the fleet: µs from discovery's return.
#[derive(Debug, Default)]
struct Healing {
    /// To the first call of each forwarder.
    calls: Vec<Micros>,
    /// To the first answer of each.
    answers: Vec<Micros>,
    most_calls_a_second: usize,
    all_calls: usize,
}

/// Plays a fleet whose watches all fall silent as discovery goes down, until all are told or half a minute has passed.
fn heal(outage: Outage, seed: u64) -> Healing {
    let silent_from = 2 * WITHIN;
    let back = silent_from + outage.down;
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut fleet: Vec<PollingForwarder> = (0..outage.forwarders)
        .map(|n| PollingForwarder::new(outage.forwarders, seed << 32 | u64::from(n)))
        .collect();
    let mut fails = Vec::new();
    for poller in &mut fleet {
        poller.config.notified_within = outage.notified_within;
        poller.alarm = None;
        poller.list_poller.next_poll_at = None;
        fails.push(Some(silent_from + rng.random_range(MS..=outage.silence)));
    }
    // When the call under way is answered, and the last that was given up.
    let (mut due, mut overdue) = (vec![None; fleet.len()], vec![None; fleet.len()]);
    let mut answered = vec![None; fleet.len()];
    let (mut called, mut calls_at) = (vec![None; fleet.len()], Vec::new());
    let mut free = 0;
    for now in (silent_from..back + 30_000 * MS).step_by(MS as usize) {
        for (n, poller) in fleet.iter_mut().enumerate() {
            answered[n] = [due[n], overdue[n]]
                .into_iter()
                .flatten()
                .find(|at| *at <= now);
            if answered[n].is_some() {
                continue;
            }
            if poller.rings(now) {
                if now < back {
                    fails[n] = Some(now + outage.silence);
                    continue;
                }
                called[n].get_or_insert(now);
                calls_at.push(now);
                let done = free.max(now) + outage.call;
                if done - now > outage.line {
                    fails[n] = Some(now + 20 * MS);
                    continue;
                }
                free = done;
                due[n] = (done - now <= outage.silence.max(outage.heard_until)).then_some(done);
                fails[n] = (done - now > outage.silence).then_some(now + outage.silence);
            }
            if fails[n].take_if(|at| *at <= now).is_some() {
                // Only the last that was given up is still heard; a refusal leaves it.
                overdue[n] = due[n].take().or(overdue[n]);
                poller.show(now, Event::EndpointList(EndpointListUpdate::Failed));
            }
        }
    }
    let since = |at: &Option<Micros>| at.unwrap_or(Micros::MAX).saturating_sub(back);
    let busiest = |from: &Micros| {
        calls_at
            .iter()
            .filter(|at| (*from..from + 1_000 * MS).contains(at))
            .count()
    };
    Healing {
        calls: called.iter().map(since).collect(),
        answers: answered.iter().map(since).collect(),
        most_calls_a_second: calls_at.iter().map(busiest).max().unwrap_or(0),
        all_calls: calls_at.len(),
    }
}

/// The longest time from the moment of a call that failed to the next, over all counts of failures in a row.
#[test]
fn a_change_is_heard_by_the_time_that_counts_after_any_failed_call() {
    for (forwarders, within, fails_after) in [1, 20, 350]
        .iter()
        .flat_map(|f| [WITHIN, 60 * WITHIN].map(|w| (*f, w)))
        .flat_map(|(f, w)| [20 * MS, 1_000 * MS, LONGEST_SILENCE].map(|fails| (f, w, fails)))
    {
        for seed in 0..200 {
            let mut poller = PollingForwarder::new(forwarders, seed);
            (poller.config.poll_interval, poller.config.notified_within) =
                (Some(within), Some(TOLD));
            let mut now = poller.alarm.expect("it is put off");
            for failures in 1..=20 {
                // A lone one has made its first call as it began.
                assert!(poller.rings(now) || forwarders == 1 && failures == 1);
                let called = now;
                now += fails_after;
                poller.show(now, Event::EndpointList(EndpointListUpdate::Failed));
                now = poller.alarm.expect("it is put off");
                let next = now - called;
                assert!(
                    next + ANSWER_ALLOWANCE_US <= TOLD,
                    "{forwarders}, {failures} failures: {next} µs to the next call"
                );
                assert!(next > fails_after, "{forwarders}: asked again at once");
            }
            // A watch that held falls silent: it is noticed so long after its last answer.
            assert!(poller.rings(now));
            now += 2 * WITHIN + LONGEST_SILENCE;
            poller.show(now, Event::EndpointList(EndpointListUpdate::Failed));
            let next = LONGEST_SILENCE + poller.alarm.expect("it is put off") - now;
            assert!(
                next + ANSWER_ALLOWANCE_US <= TOLD,
                "{forwarders}: {next} µs from a silent watch to a new one"
            );
        }
    }
}

/// Also where a silence is told a little late, as on sockets, and in a small fleet, which has no window of its own to spread.
#[test]
fn failures_in_a_row_lengthen_the_wait_up_to_the_time_that_counts() {
    for (forwarders, fails_after) in [
        (1, 20 * MS),
        (1, LONGEST_SILENCE + 30 * MS),
        (3, LONGEST_SILENCE + 30 * MS),
    ] {
        let mut poller = PollingForwarder::new(forwarders, 2);
        poller.config.notified_within = Some(TOLD);
        let (mut now, mut waits) = (poller.alarm.expect("it is put off"), Vec::new());
        for _ in 0..8 {
            poller.rings(now);
            now += fails_after;
            poller.show(now, Event::EndpointList(EndpointListUpdate::Failed));
            waits.push(poller.alarm.expect("it is put off") - now);
            now = poller.alarm.expect("it is put off");
        }
        assert!(
            waits[0] < 300 * MS && waits[7] >= 1_000 * MS,
            "{forwarders}: {waits:?}"
        );
    }
}

/// The first call of a process comes as soon, also where the settings want one in a minute.
#[test]
fn the_first_call_comes_by_the_time_that_counts() {
    for seed in 0..200 {
        let long = Config {
            poll_interval: Some(60 * WITHIN),
            notified_within: Some(TOLD),
            ..config(350)
        };
        let poller = PollingForwarder::under(long, seed);
        assert!(poller.alarm.expect("it is put off") + ANSWER_ALLOWANCE_US <= TOLD);
    }
}

const OUTAGE: Outage = Outage {
    forwarders: 350,
    call: 16 * MS,
    line: 3 * TIMEOUT,
    down: 8_000 * MS,
    notified_within: Some(TOLD),
    silence: LONGEST_SILENCE,
    heard_until: 7_000 * MS,
};

/// Where discovery can work off the calls of all within the time that counts, all are told by then.
#[test]
fn a_fleet_is_told_within_the_time_that_counts_after_an_outage() {
    for (call, seed) in [1, 8, 14]
        .iter()
        .flat_map(|c| (0..5).map(move |seed| (c * MS, seed)))
    {
        let healing = heal(Outage { call, ..OUTAGE }, seed);
        let last = healing.answers.iter().max().expect("a fleet");
        assert!(
            *last <= TOLD,
            "{call} µs a call, seed {seed}: the last told after {last} µs"
        );
        assert!(
            healing.most_calls_a_second <= 175,
            "{} calls in a second",
            healing.most_calls_a_second
        );
    }
}

/// The window exists for this: a discovery that can't work off so many is not kept down by the calls made again. A third
/// of what it can do is the least that reaches the fleet; answers to calls that were given up are heard.
#[test]
fn a_discovery_slower_than_the_fleet_asks_still_tells_it() {
    for (call, line) in [80, 40, 25]
        .iter()
        .flat_map(|c| [1_500, 6_000].map(move |l| (c * MS, l * MS)))
    {
        for seed in 0..5 {
            let healing = heal(
                Outage {
                    call,
                    line,
                    ..OUTAGE
                },
                seed,
            );
            for seconds in [10, 20, 30] {
                let told = healing
                    .answers
                    .iter()
                    .filter(|at| **at <= seconds * 1_000 * MS)
                    .count() as u64;
                let could = (seconds * 1_000 * MS / call).min(350);
                assert!(
                    3 * told >= could,
                    "{call} µs a call, line {line}: {told} of {could} told in {seconds} s"
                );
            }
        }
    }
}

/// The table of `docs/design/fleet-growth.md`: `cargo test --lib trade -- --ignored --nocapture`.
#[test]
#[ignore = "prints a table"]
fn trade() {
    let rows = [
        ("before", None, 7_000 * MS, 0),
        ("bounded", Some(TOLD), LONGEST_SILENCE, 0),
        (
            "bounded, late answers heard",
            Some(TOLD),
            LONGEST_SILENCE,
            7_000 * MS,
        ),
    ];
    for call in [80, 40, 25, 20, 16, 8, 1].map(|ms| ms * MS) {
        for (name, notified_within, silence, heard_until) in rows {
            let plays = (0..5).map(|seed| {
                heal(
                    Outage {
                        call,
                        notified_within,
                        silence,
                        heard_until,
                        ..OUTAGE
                    },
                    seed,
                )
            });
            let plays: Vec<Healing> = plays.collect();
            let told = |s: Micros| {
                let told = plays
                    .iter()
                    .flat_map(|h| &h.answers)
                    .filter(|at| **at <= s * 1_000 * MS)
                    .count();
                told / plays.len()
            };
            let call_after = plays.iter().flat_map(|h| &h.calls).max().expect("calls") / MS;
            let busiest = plays
                .iter()
                .map(|h| h.most_calls_a_second)
                .max()
                .expect("plays");
            let calls = plays.iter().map(|h| h.all_calls).sum::<usize>() / plays.len();
            println!(
                "| {} | {name} | {call_after} | {} | {} | {} | {busiest} | {calls} |",
                1_000 * MS / call,
                told(6),
                told(15),
                told(30)
            );
        }
    }
}
