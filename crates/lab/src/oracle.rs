//! The oracle: the six rules and the final answers, judged from outside, on both clocks. It knows what clients were told,
//! what reached the receivers and what forwarders had been told; it knows nothing of how a forwarder decides.
//!
//! A submission is a message as one forwarder took it on; a client that comes again makes a new one. A submission leaves the tables some
//! time after its deadline, once none of its calls is out; a wait, a drain and a key leave as they end.

use crate::scenario::{DeliverySemantics, Scenario};
use opalpulley::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::fmt;

/// A submission stays known for so long after its deadline: late calls must still be told from unknown ones.
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
    /// A second attempt while one is out.
    #[serde(rename = "two-trips-out")]
    TwoAttemptsInFlight,
    #[serde(rename = "too-many-trips")]
    TooManyAttempts,
    /// Sent to an endpoint that it had been told drains or is gone.
    DrainNotKept,
    /// An endpoint fell over under those that had seen it fail.
    PushedOver,
    OrderNotKept,
    #[serde(rename = "wait-not-heeded")]
    RetryAfterIgnored,
    /// Sent to an endpoint of another destination, or of none.
    WrongDestination,
    #[serde(rename = "too-many-slots")]
    TooManyInFlight,
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
pub enum FinalAnswer {
    Served,
    Rejected,
    Failed,
}

/// What an outcome says about an effect, from outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TookEffect {
    No,
    Perhaps,
}

/// A message as a forwarder accepts it .
#[derive(Clone, Debug)]
pub struct SubmissionRecord {
    pub submission: u64,
    pub message: u64,
    pub forwarder: u32,
    pub expires: Micros,
    pub class: u16,
    pub destination: u32,
    pub key: Option<u64>,
}

/// A call as it goes out: whose message, from whom, to whom.
#[derive(Clone, Copy, Debug)]
pub struct SentCall {
    pub submission: u64,
    pub forwarder: u32,
    /// Whose endpoint it is.
    pub destination: u32,
    pub endpoint: usize,
    pub holder: u32,
    pub limiter: usize,
}

#[derive(Clone, Debug)]
struct TrackedSubmission {
    record: SubmissionRecord,
    /// The client was told that it is taken.
    accepted: bool,
    ended: Option<Micros>,
    end: Option<FinalAnswer>,
    /// Served while its forwarder was down or stood still: it may not have heard, goes on, and ends it once more.
    unacknowledged: bool,
    /// Nobody owes it anything any more: its forwarder was lost with its folder.
    void: bool,
    possible_effect_since: Option<Micros>,
    out: u32,
    attempts: u32,
}

pub struct Oracle {
    classes: Vec<(DeliverySemantics, Micros, bool)>,
    answer_slack: Micros,
    drain_grace: Micros,
    max_attempts: u32,
    concurrency_limit: u32,
    /// What passes between a forwarder and the place where it is seen.
    slack: Micros,
    submissions: HashMap<u64, TrackedSubmission>,
    /// Each leaves as its time is up; one that is not owed yet is looked at again.
    by_expiry: BTreeSet<(Micros, u64)>,
    /// Looked at, to be forgotten by age.
    expired: VecDeque<(Micros, u64)>,
    drain_notified: HashMap<(u32, usize, u32), Micros>,
    /// From when a wait binds, and until when.
    waits: HashMap<(u32, usize), (Micros, Micros)>,
    ordered_queues: HashMap<(u32, u64), VecDeque<u64>>,
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
            classes: scenario
                .classes
                .iter()
                .map(|p| (p.semantics, p.window.0, p.ordered))
                .collect(),
            answer_slack: scenario.rules.answer_slack.0,
            drain_grace: scenario.rules.drain_grace.0,
            max_attempts: scenario.forwarders.max_attempts,
            concurrency_limit: scenario.forwarders.concurrency_limit,
            slack,
            submissions: HashMap::new(),
            by_expiry: BTreeSet::new(),
            expired: VecDeque::new(),
            drain_notified: HashMap::new(),
            waits: HashMap::new(),
            ordered_queues: HashMap::new(),
            out: HashMap::new(),
            effects: HashMap::new(),
            effects_by_age: VecDeque::new(),
            window: scenario.longest_time_to_live() + LINGER,
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

    /// A client submits it; the forwarder has not answered yet.
    pub fn submitted(&mut self, record: SubmissionRecord) {
        self.by_expiry.insert((record.expires, record.submission));
        if let (Some(key), true) = (record.key, self.ordered(record.class)) {
            self.ordered_queues
                .entry((record.forwarder, key))
                .or_default()
                .push_back(record.submission);
        }
        let submission = TrackedSubmission {
            accepted: false,
            ended: None,
            end: None,
            unacknowledged: false,
            void: false,
            possible_effect_since: None,
            out: 0,
            attempts: 0,
            record,
        };
        self.submissions
            .insert(submission.record.submission, submission);
    }

    fn ordered(&self, class: u16) -> bool {
        self.classes.get(usize::from(class)).is_some_and(|p| p.2)
    }

    /// The client heard that it is accepted.
    pub fn accepted(&mut self, submission: u64) {
        if let Some(d) = self.submissions.get_mut(&submission) {
            d.accepted = true;
        }
    }

    /// The client heard that it is not, or never heard: nothing is owed.
    pub fn refused(&mut self, submission: u64, now: Micros) {
        if let Some(d) = self.submissions.get_mut(&submission) {
            d.ended = d.ended.or(Some(now));
            d.void = true;
        }
        self.leave_order(submission);
    }

    /// The forwarder is gone and its folder with it. Gives the messages that it had accepted.
    pub fn lost_with_folder(&mut self, forwarder: u32, now: Micros) -> Vec<u64> {
        let lost = |d: &&TrackedSubmission| d.record.forwarder == forwarder && d.ended.is_none();
        let mut of: Vec<(u64, u64, bool)> = self
            .submissions
            .values()
            .filter(lost)
            .map(|d| (d.record.submission, d.record.message, d.accepted))
            .collect();
        of.sort_unstable();
        of.iter()
            .for_each(|(submission, ..)| self.refused(*submission, now));
        of.into_iter()
            .filter(|(.., accepted)| *accepted)
            .map(|(_, message, _)| message)
            .collect()
    }

    /// Whether a submission has this very end already, told before.
    pub fn already_reported(&self, submission: u64, end: FinalAnswer) -> bool {
        self.submissions
            .get(&submission)
            .is_some_and(|d| d.end == Some(end) && end != FinalAnswer::Served)
    }

    /// What a forwarder owes is not late before then.
    pub fn excuse(&mut self, forwarder: u32, until: Micros) {
        self.excused.insert(forwarder, until);
    }

    fn is_owed(&self, forwarder: u32, now: Micros) -> bool {
        self.excused
            .get(&forwarder)
            .is_none_or(|until| now > *until)
    }

    /// A process ended: it forgets waits and its calls are out no more.
    pub fn process_ended(&mut self, forwarder: u32) {
        self.waits.retain(|(f, _), _| *f != forwarder);
        self.out.remove(&forwarder);
        for d in self
            .submissions
            .values_mut()
            .filter(|d| d.record.forwarder == forwarder && d.out > 0)
        {
            d.out = 0;
        }
    }

    /// The forwarder was told that an endpoint (this holder of its address) takes nothing new, or that it does.
    pub fn endpoint_status_notified(
        &mut self,
        forwarder: u32,
        endpoint: usize,
        holder: u32,
        ready: bool,
        now: Micros,
    ) {
        match ready {
            true => _ = self.drain_notified.remove(&(forwarder, endpoint, holder)),
            false => {
                _ = self
                    .drain_notified
                    .entry((forwarder, endpoint, holder))
                    .or_insert(now)
            }
        }
    }

    /// A call with a submission's message, sent (or, on sockets, come) at `now`.
    pub fn sent(&mut self, call: SentCall, now: Micros) {
        let SentCall {
            submission,
            forwarder,
            destination,
            endpoint,
            holder,
            limiter,
        } = call;
        let Some(d) = self.submissions.get(&submission).cloned() else {
            return self.broken(
                Rule::SentAfterEnd,
                now,
                format!("packet {submission} to target {endpoint}: long over or never handed in"),
            );
        };
        let what = |more: &str| {
            format!("packet {submission} of forwarder {forwarder} to target {endpoint}{more}")
        };
        if d.record.destination != destination {
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
        if d.ended.is_some_and(after) && !d.unacknowledged && (d.accepted || !d.void) {
            self.broken(Rule::SentAfterEnd, now, what(": it has its final answer"));
        }
        if d.out > 0 {
            self.broken(
                Rule::TwoAttemptsInFlight,
                now,
                what(": a trip is still out"),
            );
        }
        if d.attempts >= self.max_attempts {
            self.broken(
                Rule::TooManyAttempts,
                now,
                what(&format!(": trip {}", d.attempts + 1)),
            );
        }
        let (effect, window, ordered) = self.classes[usize::from(d.record.class)];
        match (effect, d.possible_effect_since) {
            (DeliverySemantics::AtMostOnce, Some(_)) => self.broken(
                Rule::EffectTwice,
                now,
                what(": binding, and it may have run"),
            ),
            (DeliverySemantics::IdempotencyKeyed, Some(first))
                if now > first + window + self.slack =>
            {
                self.broken(
                    Rule::EffectTwice,
                    now,
                    what(": past the window in which repeats are known"),
                )
            }
            _ => {}
        }
        self.check_bound(forwarder, endpoint, holder, limiter, now, &what(""));
        if let (Some(key), true) = (d.record.key, ordered) {
            let queue = self
                .ordered_queues
                .get(&(forwarder, key))
                .cloned()
                .unwrap_or_default();
            let earlier = queue.iter().take_while(|o| **o != submission);
            let open = |o: &u64| {
                self.submissions
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
        if out > self.concurrency_limit {
            self.broken(
                Rule::TooManyInFlight,
                now,
                what(&format!(": {out} calls out")),
            );
        }
        if let Some(d) = self.submissions.get_mut(&submission) {
            d.out += 1;
            d.attempts += 1;
        }
    }

    /// What binds a call as its bytes go, whenever it was chosen: drains and waits.
    pub fn check_bound(
        &mut self,
        forwarder: u32,
        endpoint: usize,
        holder: u32,
        limiter: usize,
        now: Micros,
        what: &str,
    ) {
        let off = self.drain_notified.get(&(forwarder, endpoint, holder));
        if off.is_some_and(|t| now > t + self.drain_grace + self.slack) {
            self.broken(
                Rule::DrainNotKept,
                now,
                format!("{what}: it drains or is gone"),
            );
        }
        self.check_retry_after(forwarder, limiter, now, &format!("{what}: told to wait"));
    }

    /// An attempt of it was withdrawn before its bytes went: it counts for nothing.
    pub fn withdrawn_before_send(&mut self, submission: u64) {
        if let Some(d) = self.submissions.get_mut(&submission) {
            d.attempts = d.attempts.saturating_sub(1);
        }
    }

    pub fn check_retry_after(&mut self, forwarder: u32, limiter: usize, now: Micros, what: &str) {
        match self.waits.get(&(forwarder, limiter)) {
            Some((from, until)) if (*from..*until).contains(&now) => {
                self.broken(Rule::RetryAfterIgnored, now, what.to_owned());
            }
            Some((_, until)) if now >= *until => _ = self.waits.remove(&(forwarder, limiter)),
            _ => {}
        }
    }

    /// A call is out no more. `ran`: what its forwarder can know of its effect; `since`: when it was sent.
    pub fn over(&mut self, submission: u64, forwarder: u32, since: Micros, ran: TookEffect) {
        if let Some(out) = self.out.get_mut(&forwarder) {
            *out = out.saturating_sub(1);
        }
        if let Some(d) = self.submissions.get_mut(&submission) {
            d.out = d.out.saturating_sub(1);
            if ran == TookEffect::Perhaps {
                d.possible_effect_since =
                    Some(d.possible_effect_since.map_or(since, |e| e.min(since)));
            }
        }
        self.leave_order(submission);
    }

    /// The forwarder has heard that it must wait before it sends there again.
    pub fn retry_after_notified(
        &mut self,
        forwarder: u32,
        limiter: usize,
        now: Micros,
        until: Micros,
    ) {
        let wait = self
            .waits
            .entry((forwarder, limiter))
            .or_insert((now + self.slack, until));
        wait.1 = until.max(wait.1);
    }

    /// Whether a call with its message is out.
    pub fn is_out(&self, submission: u64) -> bool {
        self.submissions.get(&submission).is_some_and(|d| d.out > 0)
    }

    /// Attempts that its message has made under this submission.
    pub fn attempts(&self, submission: u64) -> u32 {
        self.submissions.get(&submission).map_or(0, |d| d.attempts)
    }

    /// Whose submission it is, of which message, and until when.
    pub fn record(&self, submission: u64) -> Option<&SubmissionRecord> {
        self.submissions.get(&submission).map(|d| &d.record)
    }

    /// On sockets a call that its forwarder has closed is seen to end later: slots are not judged there.
    pub fn for_sockets(mut self) -> Oracle {
        self.concurrency_limit = u32::MAX;
        self
    }

    /// A final answer.
    pub fn ended(&mut self, submission: u64, end: FinalAnswer, now: Micros) {
        let forwarder = self
            .submissions
            .get(&submission)
            .map_or(0, |d| d.record.forwarder);
        let owed = self.is_owed(forwarder, now);
        let Some(d) = self.submissions.get_mut(&submission) else {
            return self.broken(
                Rule::SecondFinalAnswer,
                now,
                format!("packet {submission}: {end:?}, long over or never handed in"),
            );
        };
        match d.ended {
            Some(_) if d.void => {}
            Some(_) if d.unacknowledged => d.unacknowledged = end == FinalAnswer::Served,
            Some(before) => {
                let what = format!(
                    "packet {submission}: {end:?} now, and a final answer at {before} already"
                );
                self.broken(Rule::SecondFinalAnswer, now, what);
            }
            None => {
                (d.ended, d.end) = (Some(now), Some(end));
                d.unacknowledged = !owed && end == FinalAnswer::Served;
                if owed && now > d.record.expires + self.answer_slack + self.slack {
                    let what = format!(
                        "packet {submission}: {end:?} {} us after its time was up",
                        now - d.record.expires
                    );
                    self.broken(Rule::Lost, now, what);
                }
            }
        }
        self.leave_order(submission);
    }

    fn leave_order(&mut self, submission: u64) {
        let Some(d) = self.submissions.get(&submission) else {
            return;
        };
        let (Some(key), true) = (d.record.key, d.ended.is_some() && d.out == 0) else {
            return;
        };
        let at = (d.record.forwarder, key);
        if let Some(queue) = self.ordered_queues.get_mut(&at) {
            queue.retain(|o| *o != submission);
            if queue.is_empty() {
                self.ordered_queues.remove(&at);
            }
        }
    }

    /// The message took effect at a receiver that did not know it as a repeat.
    pub fn took_effect(&mut self, message: u64, submission: u64, now: Micros) {
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
            .submissions
            .get(&submission)
            .map(|d| self.classes[usize::from(d.record.class)].0);
        let nobodys = self
            .submissions
            .get(&submission)
            .is_some_and(|d| d.void && !d.accepted);
        if effect == Some(DeliverySemantics::Idempotent) || effect.is_none() || nobodys {
            return;
        }
        if self.effects.insert(message, now).is_some() {
            self.broken(
                Rule::EffectTwice,
                now,
                format!("packet {message} took effect a second time"),
            );
        } else {
            self.effects_by_age.push_back((now, message));
        }
    }

    /// Looks for what is overdue and forgets what is long over.
    pub fn sweep(&mut self, now: Micros) {
        let grace = self.answer_slack + self.slack;
        while let Some(&(expires, submission)) =
            self.by_expiry.first().filter(|(at, _)| at + grace < now)
        {
            self.by_expiry.pop_first();
            let Some(d) = self.submissions.get(&submission) else {
                continue;
            };
            let (forwarder, expired) = (d.record.forwarder, d.record.expires);
            let owed = self.is_owed(forwarder, now);
            let Some(d) = self.submissions.get_mut(&submission) else {
                continue;
            };
            if d.ended.is_none() && (!owed || !d.accepted) {
                self.by_expiry.insert((now.max(expires), submission));
                if d.accepted || now < expired + LINGER {
                    continue;
                }
                self.by_expiry.remove(&(now.max(expires), submission));
            }
            if d.accepted && d.ended.is_none() {
                (d.ended, d.void) = (Some(now), true);
                let what = format!(
                    "packet {submission} of forwarder {forwarder}: no final answer by {expired}"
                );
                self.broken(Rule::Lost, now, what);
                self.leave_order(submission);
            }
            self.expired.push_back((now + LINGER, submission));
        }
        while self.expired.front().is_some_and(|(at, _)| *at < now) {
            if let Some((_, submission)) = self.expired.pop_front() {
                self.submissions.remove(&submission);
            }
        }
    }

    /// Duties that are not over.
    pub fn open(&self) -> usize {
        self.submissions
            .values()
            .filter(|d| d.accepted && d.ended.is_none())
            .count()
    }

    /// Entries in all tables.
    pub fn held(&self) -> usize {
        self.submissions.len() + self.effects.len() + self.ordered_queues.len() + self.waits.len()
    }
}

#[cfg(test)]
mod tests;
