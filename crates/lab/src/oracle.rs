//! The oracle: the six rules and the final answers, judged from outside, on both clocks. It knows what clients were told,
//! what reached the receivers and what forwarders had been told; it knows nothing of how a forwarder decides.
//!
//! A duty is a packet as one forwarder took it on; a client that comes again makes a new one. A duty leaves the tables some
//! time after its expiry, once none of its calls is out; a wait, a drain and a key leave as they end.

use crate::scenario::{Effect, Scenario};
use opalpulley::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::fmt;

/// A duty stays known for so long after its expiry: late calls must still be told from unknown ones.
const LINGER: Micros = 60_000_000;
/// Breaks that are kept with all their words; further ones are counted.
const MOST_BREAKS: usize = 20;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// No final answer before its time was up.
    Lost,
    SecondFinalAnswer,
    /// Sent after its final answer.
    SentAfterEnd,
    /// Might take effect twice, or did.
    EffectTwice,
    /// A second trip while one is out.
    TwoTripsOut,
    TooManyTrips,
    /// Sent to a target that it had been told drains or is gone.
    DrainNotKept,
    /// A target fell over under those that had seen it fail.
    PushedOver,
    OrderNotKept,
    WaitNotHeeded,
    /// Sent to a target of another destination, or of none.
    WrongDestination,
    TooManySlots,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = serde_json::to_value(self).ok();
        write!(
            f,
            "{}",
            name.as_ref().and_then(|n| n.as_str()).unwrap_or("rule")
        )
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Break {
    pub rule: Rule,
    /// µs from the start of the run.
    pub at: Micros,
    pub what: String,
}

/// A final answer, as the client comes to hear it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Final {
    Served,
    Deferred,
    WrittenOff,
}

/// What an outcome says about an effect, from outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ran {
    No,
    Perhaps,
}

/// A packet as a forwarder takes it on.
#[derive(Clone, Debug)]
pub struct Taking {
    pub duty: u64,
    pub packet: u64,
    pub forwarder: u32,
    pub expires: Micros,
    pub profile: u16,
    pub destination: u32,
    pub key: Option<u64>,
}

/// A call as it goes out: whose packet, from whom, to whom.
#[derive(Clone, Copy, Debug)]
pub struct Sending {
    pub duty: u64,
    pub forwarder: u32,
    /// Whose target it is.
    pub destination: u32,
    pub target: usize,
    pub holder: u32,
    pub gate: usize,
}

#[derive(Clone, Debug)]
struct Duty {
    taking: Taking,
    /// The client was told that it is taken.
    taken: bool,
    ended: Option<Micros>,
    end: Option<Final>,
    /// Served while its forwarder was down or stood still: it may not have heard, goes on, and ends it once more.
    unheard: bool,
    /// Nobody owes it anything any more: its forwarder was lost with its folder.
    void: bool,
    exposed: Option<Micros>,
    out: u32,
    trips: u32,
}

pub struct Oracle {
    profiles: Vec<(Effect, Micros, bool)>,
    answer_slack: Micros,
    drain_grace: Micros,
    max_trips: u32,
    slots: u32,
    /// What passes between a forwarder and the place where it is seen.
    slack: Micros,
    duties: HashMap<u64, Duty>,
    /// Each leaves as its time is up; one that is not owed yet is looked at again.
    by_expiry: BTreeSet<(Micros, u64)>,
    /// Looked at, to be forgotten by age.
    past: VecDeque<(Micros, u64)>,
    told_off: HashMap<(u32, usize, u32), Micros>,
    /// From when a wait binds, and until when.
    waits: HashMap<(u32, usize), (Micros, Micros)>,
    orders: HashMap<(u32, u64), VecDeque<u64>>,
    out: HashMap<u32, u32>,
    effects: HashMap<u64, Micros>,
    effects_by_age: VecDeque<(Micros, u64)>,
    window: Micros,
    /// Until when a forwarder that is down, stopped or just back may be late with what it owes.
    excused: HashMap<u32, Micros>,
    pub breaks: Vec<Break>,
    pub counts: BTreeMap<Rule, u64>,
}

impl Oracle {
    /// `slack`: how much later something is seen than it was done, µs, beside what the rules allow.
    pub fn new(scenario: &Scenario, slack: Micros) -> Oracle {
        Oracle {
            profiles: scenario
                .profiles
                .iter()
                .map(|p| (p.effect, p.window.0, p.in_order))
                .collect(),
            answer_slack: scenario.rules.answer_slack.0,
            drain_grace: scenario.rules.drain_grace.0,
            max_trips: scenario.forwarders.trips,
            slots: scenario.forwarders.slots,
            slack,
            duties: HashMap::new(),
            by_expiry: BTreeSet::new(),
            past: VecDeque::new(),
            told_off: HashMap::new(),
            waits: HashMap::new(),
            orders: HashMap::new(),
            out: HashMap::new(),
            effects: HashMap::new(),
            effects_by_age: VecDeque::new(),
            window: scenario.longest_expiry() + LINGER,
            excused: HashMap::new(),
            breaks: Vec::new(),
            counts: BTreeMap::new(),
        }
    }

    pub fn broken(&mut self, rule: Rule, at: Micros, what: String) {
        *self.counts.entry(rule).or_default() += 1;
        if self.breaks.len() < MOST_BREAKS {
            self.breaks.push(Break { rule, at, what });
        }
    }

    /// A client hands it in; the forwarder has not answered yet.
    pub fn handed_in(&mut self, taking: Taking) {
        self.by_expiry.insert((taking.expires, taking.duty));
        if let (Some(key), true) = (taking.key, self.in_order(taking.profile)) {
            self.orders
                .entry((taking.forwarder, key))
                .or_default()
                .push_back(taking.duty);
        }
        let duty = Duty {
            taken: false,
            ended: None,
            end: None,
            unheard: false,
            void: false,
            exposed: None,
            out: 0,
            trips: 0,
            taking,
        };
        self.duties.insert(duty.taking.duty, duty);
    }

    fn in_order(&self, profile: u16) -> bool {
        self.profiles.get(usize::from(profile)).is_some_and(|p| p.2)
    }

    /// The client heard that it is taken on.
    pub fn taken(&mut self, duty: u64) {
        if let Some(d) = self.duties.get_mut(&duty) {
            d.taken = true;
        }
    }

    /// The client heard that it is not, or never heard: nothing is owed.
    pub fn refused(&mut self, duty: u64, now: Micros) {
        if let Some(d) = self.duties.get_mut(&duty) {
            d.ended = d.ended.or(Some(now));
            d.void = true;
        }
        self.leave_order(duty);
    }

    /// The forwarder is gone and its folder with it. Gives the packets that it had taken on.
    pub fn lost_with_folder(&mut self, forwarder: u32, now: Micros) -> Vec<u64> {
        let lost = |d: &&Duty| d.taking.forwarder == forwarder && d.ended.is_none();
        let mut of: Vec<(u64, u64, bool)> = self
            .duties
            .values()
            .filter(lost)
            .map(|d| (d.taking.duty, d.taking.packet, d.taken))
            .collect();
        of.sort_unstable();
        of.iter().for_each(|(duty, ..)| self.refused(*duty, now));
        of.into_iter()
            .filter(|(.., taken)| *taken)
            .map(|(_, packet, _)| packet)
            .collect()
    }

    /// Whether a duty has this very end already, told before.
    pub fn heard_before(&self, duty: u64, end: Final) -> bool {
        self.duties
            .get(&duty)
            .is_some_and(|d| d.end == Some(end) && end != Final::Served)
    }

    /// What a forwarder owes is not late before then.
    pub fn excuse(&mut self, forwarder: u32, until: Micros) {
        self.excused.insert(forwarder, until);
    }

    fn owes(&self, forwarder: u32, now: Micros) -> bool {
        self.excused
            .get(&forwarder)
            .is_none_or(|until| now > *until)
    }

    /// A process ended: it forgets waits and its calls are out no more.
    pub fn restarted(&mut self, forwarder: u32) {
        self.waits.retain(|(f, _), _| *f != forwarder);
        self.out.remove(&forwarder);
        for d in self
            .duties
            .values_mut()
            .filter(|d| d.taking.forwarder == forwarder && d.out > 0)
        {
            d.out = 0;
        }
    }

    /// The forwarder was told that a target (this holder of its address) takes nothing new, or that it does.
    pub fn told_standing(
        &mut self,
        forwarder: u32,
        target: usize,
        holder: u32,
        ready: bool,
        now: Micros,
    ) {
        match ready {
            true => _ = self.told_off.remove(&(forwarder, target, holder)),
            false => {
                _ = self
                    .told_off
                    .entry((forwarder, target, holder))
                    .or_insert(now)
            }
        }
    }

    /// A call with a duty's packet, sent (or, on sockets, come) at `now`.
    pub fn sent(&mut self, call: Sending, now: Micros) {
        let Sending {
            duty,
            forwarder,
            destination,
            target,
            holder,
            gate,
        } = call;
        let Some(d) = self.duties.get(&duty).cloned() else {
            return self.broken(
                Rule::SentAfterEnd,
                now,
                format!("packet {duty} to target {target}: long over or never handed in"),
            );
        };
        let what =
            |more: &str| format!("packet {duty} of forwarder {forwarder} to target {target}{more}");
        if d.taking.destination != destination {
            self.broken(Rule::WrongDestination, now, what(" of another destination"));
        }
        // Seen on one clock, what comes after the end was sent after it.
        let after = |e| {
            if self.slack == 0 {
                now >= e
            } else {
                now > e + self.slack
            }
        };
        if d.ended.is_some_and(after) && !d.unheard && (d.taken || !d.void) {
            self.broken(Rule::SentAfterEnd, now, what(": it has its final answer"));
        }
        if d.out > 0 {
            self.broken(Rule::TwoTripsOut, now, what(": a trip is still out"));
        }
        if d.trips >= self.max_trips {
            self.broken(
                Rule::TooManyTrips,
                now,
                what(&format!(": trip {}", d.trips + 1)),
            );
        }
        let (effect, window, in_order) = self.profiles[usize::from(d.taking.profile)];
        match (effect, d.exposed) {
            (Effect::Binding, Some(_)) => self.broken(
                Rule::EffectTwice,
                now,
                what(": binding, and it may have run"),
            ),
            (Effect::Fingerprinted, Some(first)) if now > first + window + self.slack => self
                .broken(
                    Rule::EffectTwice,
                    now,
                    what(": past the window in which repeats are known"),
                ),
            _ => {}
        }
        self.check_bound(forwarder, target, holder, gate, now, &what(""));
        if let (Some(key), true) = (d.taking.key, in_order) {
            let line = self
                .orders
                .get(&(forwarder, key))
                .cloned()
                .unwrap_or_default();
            let earlier = line.iter().take_while(|o| **o != duty);
            let open = |o: &u64| {
                self.duties
                    .get(o)
                    .is_some_and(|e| e.ended.is_none() || e.out > 0)
            };
            if earlier.clone().any(open) {
                self.broken(
                    Rule::OrderNotKept,
                    now,
                    what(": an earlier one of its key is not over"),
                );
            }
        }
        let out = self.out.entry(forwarder).or_default();
        *out += 1;
        let out = *out;
        if out > self.slots {
            self.broken(Rule::TooManySlots, now, what(&format!(": {out} calls out")));
        }
        if let Some(d) = self.duties.get_mut(&duty) {
            d.out += 1;
            d.trips += 1;
        }
    }

    /// What binds a call as its bytes go, whenever it was chosen: drains and waits.
    pub fn check_bound(
        &mut self,
        forwarder: u32,
        target: usize,
        holder: u32,
        gate: usize,
        now: Micros,
        what: &str,
    ) {
        let off = self.told_off.get(&(forwarder, target, holder));
        if off.is_some_and(|t| now > t + self.drain_grace + self.slack) {
            self.broken(
                Rule::DrainNotKept,
                now,
                format!("{what}: it drains or is gone"),
            );
        }
        self.check_wait(forwarder, gate, now, &format!("{what}: told to wait"));
    }

    /// A trip of it was taken back before its bytes went: it counts for nothing.
    pub fn never_went(&mut self, duty: u64) {
        if let Some(d) = self.duties.get_mut(&duty) {
            d.trips = d.trips.saturating_sub(1);
        }
    }

    pub fn check_wait(&mut self, forwarder: u32, gate: usize, now: Micros, what: &str) {
        match self.waits.get(&(forwarder, gate)) {
            Some((from, until)) if (*from..*until).contains(&now) => {
                self.broken(Rule::WaitNotHeeded, now, what.to_owned());
            }
            Some((_, until)) if now >= *until => _ = self.waits.remove(&(forwarder, gate)),
            _ => {}
        }
    }

    /// A call is out no more. `ran`: what its forwarder can know of its effect; `since`: when it was sent.
    pub fn over(&mut self, duty: u64, forwarder: u32, since: Micros, ran: Ran) {
        if let Some(out) = self.out.get_mut(&forwarder) {
            *out = out.saturating_sub(1);
        }
        if let Some(d) = self.duties.get_mut(&duty) {
            d.out = d.out.saturating_sub(1);
            if ran == Ran::Perhaps {
                d.exposed = Some(d.exposed.map_or(since, |e| e.min(since)));
            }
        }
        self.leave_order(duty);
    }

    /// The forwarder has heard that it must wait before it sends there again.
    pub fn told_to_wait(&mut self, forwarder: u32, gate: usize, now: Micros, until: Micros) {
        let wait = self
            .waits
            .entry((forwarder, gate))
            .or_insert((now + self.slack, until));
        wait.1 = until.max(wait.1);
    }

    /// Whether a call with its packet is out.
    pub fn is_out(&self, duty: u64) -> bool {
        self.duties.get(&duty).is_some_and(|d| d.out > 0)
    }

    /// Trips that its packet has made under this duty.
    pub fn trips(&self, duty: u64) -> u32 {
        self.duties.get(&duty).map_or(0, |d| d.trips)
    }

    /// Whose duty it is, of which packet, and until when.
    pub fn taking(&self, duty: u64) -> Option<&Taking> {
        self.duties.get(&duty).map(|d| &d.taking)
    }

    /// On sockets a call that its forwarder has closed is seen to end later: slots are not judged there.
    pub fn for_sockets(mut self) -> Oracle {
        self.slots = u32::MAX;
        self
    }

    /// A final answer.
    pub fn ended(&mut self, duty: u64, end: Final, now: Micros) {
        let forwarder = self.duties.get(&duty).map_or(0, |d| d.taking.forwarder);
        let owed = self.owes(forwarder, now);
        let Some(d) = self.duties.get_mut(&duty) else {
            return self.broken(
                Rule::SecondFinalAnswer,
                now,
                format!("packet {duty}: {end:?}, long over or never handed in"),
            );
        };
        match d.ended {
            Some(_) if d.void => {}
            Some(_) if d.unheard => d.unheard = end == Final::Served,
            Some(before) => {
                let what =
                    format!("packet {duty}: {end:?} now, and a final answer at {before} already");
                self.broken(Rule::SecondFinalAnswer, now, what);
            }
            None => {
                (d.ended, d.end) = (Some(now), Some(end));
                d.unheard = !owed && end == Final::Served;
                if owed && now > d.taking.expires + self.answer_slack + self.slack {
                    let what = format!(
                        "packet {duty}: {end:?} {} us after its time was up",
                        now - d.taking.expires
                    );
                    self.broken(Rule::Lost, now, what);
                }
            }
        }
        self.leave_order(duty);
    }

    fn leave_order(&mut self, duty: u64) {
        let Some(d) = self.duties.get(&duty) else {
            return;
        };
        let (Some(key), true) = (d.taking.key, d.ended.is_some() && d.out == 0) else {
            return;
        };
        let at = (d.taking.forwarder, key);
        if let Some(line) = self.orders.get_mut(&at) {
            line.retain(|o| *o != duty);
            if line.is_empty() {
                self.orders.remove(&at);
            }
        }
    }

    /// The packet took effect at a receiver that did not know it as a repeat.
    pub fn took_effect(&mut self, packet: u64, duty: u64, now: Micros) {
        while self
            .effects_by_age
            .front()
            .is_some_and(|(at, _)| at + self.window < now)
        {
            if let Some((_, old)) = self.effects_by_age.pop_front() {
                self.effects.remove(&old);
            }
        }
        let effect = self
            .duties
            .get(&duty)
            .map(|d| self.profiles[usize::from(d.taking.profile)].0);
        let nobodys = self.duties.get(&duty).is_some_and(|d| d.void && !d.taken);
        if effect == Some(Effect::Retriable) || effect.is_none() || nobodys {
            return;
        }
        if self.effects.insert(packet, now).is_some() {
            self.broken(
                Rule::EffectTwice,
                now,
                format!("packet {packet} took effect a second time"),
            );
        } else {
            self.effects_by_age.push_back((now, packet));
        }
    }

    /// Looks for what is overdue and forgets what is long over.
    pub fn sweep(&mut self, now: Micros) {
        let grace = self.answer_slack + self.slack;
        while let Some(&(expires, duty)) = self.by_expiry.first().filter(|(at, _)| at + grace < now)
        {
            self.by_expiry.pop_first();
            let Some(d) = self.duties.get(&duty) else {
                continue;
            };
            let (forwarder, expired) = (d.taking.forwarder, d.taking.expires);
            let owed = self.owes(forwarder, now);
            let Some(d) = self.duties.get_mut(&duty) else {
                continue;
            };
            if d.ended.is_none() && (!owed || !d.taken) {
                self.by_expiry.insert((now.max(expires), duty));
                if d.taken || now < expired + LINGER {
                    continue;
                }
                self.by_expiry.remove(&(now.max(expires), duty));
            }
            if d.taken && d.ended.is_none() {
                (d.ended, d.void) = (Some(now), true);
                let what =
                    format!("packet {duty} of forwarder {forwarder}: no final answer by {expired}");
                self.broken(Rule::Lost, now, what);
                self.leave_order(duty);
            }
            self.past.push_back((now + LINGER, duty));
        }
        while self.past.front().is_some_and(|(at, _)| *at < now) {
            if let Some((_, duty)) = self.past.pop_front() {
                self.duties.remove(&duty);
            }
        }
    }

    /// Duties that are not over.
    pub fn open(&self) -> usize {
        self.duties
            .values()
            .filter(|d| d.taken && d.ended.is_none())
            .count()
    }

    /// Entries in all tables.
    pub fn held(&self) -> usize {
        self.duties.len() + self.effects.len() + self.orders.len() + self.waits.len()
    }
}

#[cfg(test)]
mod tests;
