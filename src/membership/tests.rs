use super::*;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const MS: Micros = 1_000;
const TIMEOUT: Micros = 2_000 * MS;
const WITHIN: Micros = 10_000 * MS;

pub(crate) fn terms(forwarders: u32) -> TermsOfCarriage {
    TermsOfCarriage { forwarders, ask_within: Some(WITHIN), ..TermsOfCarriage::default() }
}

/// One forwarder's asking, with its alarms.
struct Asker {
    asking: Asking,
    terms: TermsOfCarriage,
    rng: Pcg64Mcg,
    alarm: Option<Micros>,
}

impl Asker {
    fn new(forwarders: u32, seed: u64) -> Asker {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        let mut asker = Asker { asking: Asking::default(), terms: terms(forwarders), rng, alarm: None };
        let asked = asker.show(0, Event::List(ListNews::Cached(Vec::new())));
        assert!(forwarders == 1 || !asked || asker.alarm == Some(0));
        asker
    }

    /// Whether it asks.
    fn show(&mut self, now: Micros, event: Event) -> bool {
        let mut actions = Vec::new();
        self.asking.handle(now, &event, &self.terms, &mut self.rng, &mut actions);
        for action in &actions {
            if let Action::Wake { after, .. } = action {
                self.alarm = Some(now + after);
            }
        }
        actions.contains(&Action::Watch { on: true })
    }

    fn rings(&mut self, now: Micros) -> bool {
        self.alarm.take_if(|at| *at <= now).is_some() && self.show(now, Event::Alarm { token: DUE })
    }
}

/// A discovery that works off one call after the other, turns away what would wait longer than three time-outs, and
/// spends its time on calls that nobody waits for any more. Gives when each forwarder was answered.
fn told(forwarders: u32, call: Micros, seed: u64, until: Micros) -> Vec<Option<Micros>> {
    let mut fleet: Vec<Asker> =
        (0..forwarders).map(|n| Asker::new(forwarders, seed << 32 | u64::from(n))).collect();
    let mut answered = vec![None; fleet.len()];
    let mut fails = vec![None; fleet.len()];
    let mut free = 0;
    for now in (0..until).step_by(MS as usize) {
        for (n, asker) in fleet.iter_mut().enumerate() {
            if asker.rings(now) {
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
                asker.show(now, Event::List(ListNews::Failed));
            }
        }
    }
    answered
}

/// A fleet that starts at once hears its list, however slow discovery is. Calls made again each second are never heard.
#[test]
fn a_fleet_that_starts_at_once_hears_its_list() {
    for (forwarders, call) in [(3, 500 * MS), (100, 20 * MS), (100, 80 * MS), (300, 25 * MS)] {
        for seed in 0..5 {
            let answered = told(forwarders, call, seed, 30_000 * MS);
            let late = answered.iter().filter(|at| at.is_none_or(|at| at > 25_000 * MS)).count();
            assert!(late * 50 <= forwarders as usize, "{forwarders}, {call} µs: {late} not told in 25 s");
        }
    }
}

#[test]
fn the_first_call_comes_within_what_the_rules_want_and_a_lone_one_at_once() {
    for forwarders in [1, 2, 50, 100_000] {
        let wait = Asker::new(forwarders, 1).alarm.expect("it is put off");
        assert!(wait <= WITHIN / 2 && (forwarders > 1 || wait == 0), "{forwarders}: {wait}");
    }
}

#[test]
fn failures_in_a_row_lengthen_the_wait_up_to_the_interval_and_a_call_that_held_ends_the_row() {
    for forwarders in [1, 100] {
        let mut asker = Asker::new(forwarders, 2);
        let mut now = asker.alarm.expect("it is put off");
        let mut waits = Vec::new();
        for _ in 0..40 {
            asker.rings(now);
            now += TIMEOUT;
            asker.show(now, Event::List(ListNews::Failed));
            waits.push(asker.alarm.expect("it is put off") - now);
            now += waits[waits.len() - 1];
        }
        assert!(waits.iter().all(|w| *w <= WITHIN && *w > 0), "{waits:?}");
        assert!(waits.iter().any(|w| *w >= WITHIN / 2), "{waits:?}");
        asker.rings(now);
        asker.show(now + 2 * WITHIN, Event::List(ListNews::Failed));
        assert_eq!(asker.asking.failures, 1);
    }
}
