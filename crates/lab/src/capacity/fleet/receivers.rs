//! The destinations as the fleet meets them: they answer after a drawn time, take calls up to a rate, are down at times, and
//! come back cold.

use super::layout::Layout;
use super::onlooker::{Arrived, Outage, ReceiverCounts, Return};
use super::plan::{rules, Plan, SECOND};
use crate::random::seeded_rng;
use opalpulley::Micros;
use rand::Rng;
use rand_distr::{Distribution, LogNormal};
use rand_pcg::Pcg64Mcg;

/// Mean of the answer times, µs.
const ANSWER_TIME: f64 = 60_000.0;
/// Their spread: standard deviation of the logarithm.
const ANSWER_SPREAD: f64 = 0.5;
/// Told with a refusal above the rate.
const RETRY_AFTER: Micros = 400_000;
/// Calls over the rate that may come at once, in seconds of the rate.
const BURST: f64 = 1.0;
/// Of outages, the part in which connections are refused; in the others nothing is answered.
const REFUSING_SHARE: f64 = 0.5;
/// Least part of the rate that a cold destination takes.
const LEAST_PART: f64 = 0.05;

/// How a destination is down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Down {
    /// Connections are refused.
    Refusing,
    /// Nothing is answered.
    Silent,
}

/// What comes back for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// After this time.
    Served(Micros),
    /// Above its rate.
    Full { retry_after: Micros },
    /// No connection comes up.
    Refused,
    /// Nothing is answered.
    Nothing,
}

/// Whether it takes its whole rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Temperature {
    Warm,
    Cold { since: Micros },
}

/// What a call or health check meets at a destination that is down.
struct MetOutage {
    reply: Reply,
    /// Another forwarder had met the outage as it was sent.
    another_knew: bool,
    /// And its sender had not.
    only_others_knew: bool,
}

struct Receiver {
    rate: f64,
    tokens: f64,
    filled: Micros,
    temperature: Temperature,
    /// Its own outage.
    down: Option<Down>,
    /// Its zone is cut off.
    zone_gone: bool,
    /// Counts its addresses; calls to an older one are refused.
    holder: u32,
    outage: Option<Box<Outage>>,
    back: Option<Box<Return>>,
}

/// All destinations of the fleet.
pub struct Receivers {
    all: Vec<Receiver>,
    /// What an onlooker counts.
    pub counts: ReceiverCounts,
    answer_times: Option<LogNormal<f64>>,
    rng: Pcg64Mcg,
}

impl Receivers {
    /// All destinations, up and warm.
    pub fn new(plan: &Plan, layout: &Layout) -> Receivers {
        let receiver = |rate: f64| Receiver {
            rate,
            tokens: (rate * BURST).max(1.0),
            filled: 0,
            temperature: Temperature::Warm,
            down: None,
            zone_gone: false,
            holder: 0,
            outage: None,
            back: None,
        };
        let mean = ANSWER_TIME.ln() - ANSWER_SPREAD * ANSWER_SPREAD / 2.0;
        Receivers {
            all: layout
                .destinations
                .iter()
                .map(|d| receiver(d.rate))
                .collect(),
            counts: ReceiverCounts::default(),
            answer_times: LogNormal::new(mean, ANSWER_SPREAD).ok(),
            rng: seeded_rng(plan.seed, "receivers", 0),
        }
    }

    /// Whether a destination is down, by an outage of its own or of its zone.
    pub fn is_down(&self, destination: u32) -> bool {
        self.all[destination as usize].condition().is_some()
    }

    /// The destination's own outage begins.
    pub fn fail(&mut self, destination: u32) {
        let how = if self.rng.random_bool(REFUSING_SHARE) {
            Down::Refusing
        } else {
            Down::Silent
        };
        self.all[destination as usize].change(0, |r| r.down = Some(how));
    }

    /// The destination's own outage ends.
    pub fn recover(&mut self, now: Micros, destination: u32) {
        let back = self.all[destination as usize].change(now, |r| r.down = None);
        self.counts.returns += u64::from(back);
    }

    /// Its zone is cut off, or back.
    pub fn cut_zone(&mut self, now: Micros, destination: u32, gone: bool) {
        let back = self.all[destination as usize].change(now, |r| r.zone_gone = gone);
        self.counts.returns += u64::from(back);
    }

    /// The destination has another rate from now on.
    pub fn set_rate(&mut self, destination: u32, rate: f64) {
        self.all[destination as usize].rate = rate;
    }

    /// The destination moves to another address; gives its number.
    pub fn relocate(&mut self, destination: u32) -> u32 {
        let receiver = &mut self.all[destination as usize];
        receiver.holder += 1;
        receiver.holder
    }

    /// The number of its address, and its rate.
    pub fn place(&self, destination: u32) -> (u32, f64) {
        let receiver = &self.all[destination as usize];
        (receiver.holder, receiver.rate)
    }

    /// A forwarder has seen a call or health check fail there that was sent at `tried`.
    pub fn met(&mut self, destination: u32, forwarder: u32, tried: Micros, at: Micros) {
        let Receiver { outage, back, .. } = &mut self.all[destination as usize];
        if let Some(outage) = outage {
            outage.learn(forwarder, at);
        }
        if let Some(back) = back {
            back.learn(forwarder, tried, at);
        }
    }

    /// A call arrives at the address of this holder.
    pub fn call(&mut self, arrived: Arrived, holder: u32) -> Reply {
        self.counts.calls += 1;
        let receiver = &self.all[arrived.destination as usize];
        if let Some(met) = receiver.met_outage(arrived) {
            self.counts.calls_while_down += 1;
            self.counts.calls_another_knew += u64::from(met.another_knew);
            self.counts.calls_only_others_knew += u64::from(met.only_others_knew);
            return met.reply;
        }
        if holder != receiver.holder {
            self.counts.calls_to_old_address += 1;
            return Reply::Refused;
        }
        self.count_arrival(arrived);
        if !self.all[arrived.destination as usize].take(arrived.now) {
            self.counts.refused_full += 1;
            return Reply::Full {
                retry_after: RETRY_AFTER,
            };
        }
        Reply::Served(self.draw_answer_time())
    }

    fn draw_answer_time(&mut self) -> Micros {
        let times = self.answer_times;
        let time = times.map_or(ANSWER_TIME, |times| times.sample(&mut self.rng));
        time.max(1.0) as Micros
    }

    /// A health check arrives at the address of this holder.
    pub fn health_check(&mut self, arrived: Arrived, holder: u32) -> Reply {
        self.counts.probes += 1;
        let receiver = &self.all[arrived.destination as usize];
        if let Some(met) = receiver.met_outage(arrived) {
            self.counts.probes_while_down += 1;
            self.counts.probes_another_knew += u64::from(met.another_knew);
            self.counts.probes_only_others_knew += u64::from(met.only_others_knew);
            return met.reply;
        }
        if holder != receiver.holder {
            return Reply::Refused;
        }
        self.count_arrival(arrived);
        Reply::Served(0)
    }

    /// Counts what reaches a destination that is not warm yet against its budget.
    fn count_arrival(&mut self, arrived: Arrived) {
        let receiver = &mut self.all[arrived.destination as usize];
        let part = receiver.part(arrived.now);
        let rate = receiver.rate;
        if let Some(back) = receiver.back.as_mut() {
            let seen = back.take(arrived, part * rate);
            self.counts.note_return(back, seen);
        }
    }
}

impl Down {
    fn reply(self) -> Reply {
        match self {
            Down::Refusing => Reply::Refused,
            Down::Silent => Reply::Nothing,
        }
    }
}

impl Receiver {
    fn condition(&self) -> Option<Down> {
        self.down.or(self.zone_gone.then_some(Down::Silent))
    }

    /// Changes what keeps it down; says whether it has come back by that.
    fn change(&mut self, now: Micros, change: impl FnOnce(&mut Receiver)) -> bool {
        let before = self.condition().is_some();
        change(self);
        let after = self.condition().is_some();
        match (before, after) {
            (false, true) => (self.outage, self.back) = (Some(Box::default()), None),
            (true, false) => {
                let outage = self.outage.take().map(|outage| *outage).unwrap_or_default();
                self.back = Some(Box::new(Return::after(outage, now)));
                self.temperature = Temperature::Cold { since: now };
            }
            _ => {}
        }
        before && !after
    }

    /// What a call or health check meets while it is down; none while it is up.
    fn met_outage(&self, arrived: Arrived) -> Option<MetOutage> {
        let reply = self.condition()?.reply();
        let (forwarder, sent) = (arrived.forwarder, arrived.sent);
        let outage = self.outage.as_ref();
        let another = outage.is_some_and(|outage| outage.known_to_another(forwarder, sent));
        let own = outage.is_some_and(|outage| outage.known_to(forwarder, sent));
        Some(MetOutage {
            reply,
            another_knew: another,
            only_others_knew: another && !own,
        })
    }

    /// The part of its rate that it takes now; from the end of its warm-up on it is warm.
    fn part(&mut self, now: Micros) -> f64 {
        let Temperature::Cold { since } = self.temperature else {
            return 1.0;
        };
        let rules = rules();
        let warmth = (now - since) as f64 / rules.warm_up_time as f64;
        if warmth >= 1.0 {
            (self.temperature, self.back) = (Temperature::Warm, None);
            return 1.0;
        }
        rules.cold_capacity_share + (1.0 - rules.cold_capacity_share) * warmth
    }

    /// Whether its rate allows one more call.
    fn take(&mut self, now: Micros) -> bool {
        let rate = self.rate * self.part(now).max(LEAST_PART);
        let passed = now.saturating_sub(self.filled) as f64 / SECOND as f64;
        self.tokens = (self.tokens + passed * rate).min((self.rate * BURST).max(1.0));
        self.filled = now;
        let room = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(room));
        room
    }
}
