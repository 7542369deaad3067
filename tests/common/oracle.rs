//! Checks the service rules on the actions of a forwarder.

mod endpoint_record;
mod sending;

use super::message_table::{Attempt, MessageTable, TrackedMessage};
use super::CheckResult;
use endpoint_record::EndpointRecord;
use opalpulley::*;
use std::collections::{BTreeMap, BTreeSet};

/// Identifies a limit, which a retry-after pauses: that of a whole destination, or of one endpoint
/// where endpoints have independent limits.
type LimitKey = (DestinationId, Option<EndpointId>);

/// Records the past events on which the service rules depend. Owned by the world.
pub struct Oracle {
    config: Config,
    /// Last entry of each endpoint in the endpoint list.
    entries: BTreeMap<EndpointId, EndpointEntry>,
    /// Endpoints that drain or have left the list, with the time in µs at which the drain began or
    /// the endpoint left.
    leaving_since: BTreeMap<EndpointId, Micros>,
    /// End of the retry-after pause under each limit, in µs.
    paused_until: BTreeMap<LimitKey, Micros>,
    /// Time in µs before which the next message of an order key must not be sent, because an
    /// attempt at the previous one ended with an unknown outcome.
    key_settles_at: BTreeMap<OrderKey, Micros>,
    endpoint_records: BTreeMap<EndpointId, EndpointRecord>,
}

impl Oracle {
    pub fn new(config: Config) -> Oracle {
        Oracle {
            config,
            entries: BTreeMap::new(),
            leaving_since: BTreeMap::new(),
            paused_until: BTreeMap::new(),
            key_settles_at: BTreeMap::new(),
            endpoint_records: BTreeMap::new(),
        }
    }

    /// Returns the last entry of every endpoint that was ever listed.
    pub fn entries(&self) -> Vec<EndpointEntry> {
        self.entries.values().cloned().collect()
    }

    /// Returns the zone of an endpoint, or `None` if it was never listed.
    pub fn zone(&self, endpoint: EndpointId) -> Option<ZoneId> {
        self.entries.get(&endpoint).map(|entry| entry.zone)
    }

    /// Returns the order key of a message whose delivery class is ordered.
    pub fn order_key(&self, message: &TrackedMessage) -> Option<OrderKey> {
        let is_ordered = self.class(message).ordered;
        message.submission.order_key.filter(|_| is_ordered)
    }

    fn class(&self, message: &TrackedMessage) -> &DeliveryClassConfig {
        &self.config.classes[usize::from(message.submission.class.0)]
    }

    fn has_batches(&self) -> bool {
        self.config.endpoint_kinds[0].max_batch_size > 1
    }

    fn limit_key(&self, destination: DestinationId, endpoint: EndpointId) -> LimitKey {
        let has_own_limit = self.config.endpoint_kinds[0].has_independent_limits;
        (destination, has_own_limit.then_some(endpoint))
    }

    /// Records an update of the endpoint list.
    pub fn observe_list(&mut self, now: Micros, update: &EndpointListUpdate) {
        let (entries, is_complete) = match update {
            EndpointListUpdate::Changes(entries) => (entries, false),
            EndpointListUpdate::Complete(entries) => (entries, true),
            EndpointListUpdate::Cached(entries) => (entries, true),
            EndpointListUpdate::Failed => return,
        };
        if is_complete {
            self.observe_unlisted(now, entries);
        }
        for entry in entries {
            if entry.status == EndpointStatus::Ready {
                self.leaving_since.remove(&entry.endpoint);
            } else {
                self.leaving_since.entry(entry.endpoint).or_insert(now);
            }
            self.entries.insert(entry.endpoint, entry.clone());
        }
    }

    /// Records the endpoints that are missing from a complete list as having left.
    fn observe_unlisted(&mut self, now: Micros, entries: &[EndpointEntry]) {
        let listed: BTreeSet<EndpointId> = entries.iter().map(|entry| entry.endpoint).collect();
        for endpoint in self.entries.keys() {
            if !listed.contains(endpoint) {
                self.leaving_since.entry(*endpoint).or_insert(now);
            }
        }
    }

    /// Records a retry-after that an endpoint sent.
    pub fn observe_retry_after(
        &mut self,
        now: Micros,
        destination: DestinationId,
        endpoint: EndpointId,
        retry_after: Micros,
    ) {
        let limit_key = self.limit_key(destination, endpoint);
        let paused_until = self.paused_until.entry(limit_key).or_default();
        *paused_until = (*paused_until).max(now + retry_after);
    }

    /// Records the outcome of an attempt.
    pub fn observe_outcome(&mut self, now: Micros, attempt: &Attempt, outcome: Outcome) {
        let has_batches = self.has_batches();
        let record = self.endpoint_records.entry(attempt.endpoint).or_default();
        record.observe_outcome(now, attempt.sent_at, outcome, has_batches);
    }

    /// Records that an attempt at a message of this key ended with an unknown outcome.
    pub fn observe_unknown_outcome(&mut self, now: Micros, key: OrderKey) {
        let settles_at = now + self.config.rules.order_settle_time;
        let current = self.key_settles_at.entry(key).or_default();
        *current = settles_at.max(*current);
    }

    /// Rule: a message gets exactly one final answer, and a message that may have taken effect is
    /// not rejected unless a repeat by its client is harmless.
    pub fn check_final_answer(&self, message: &TrackedMessage, answer: &Action) -> CheckResult {
        if message.completed {
            return Err("the message gets a second final answer".into());
        }
        let may_have_taken_effect =
            message.attempt_in_flight().is_some() || message.first_possible_effect().is_some();
        let is_repeatable = match self.class(message).semantics {
            DeliverySemantics::Idempotent => true,
            DeliverySemantics::IdempotencyKeyed { scope, .. } => {
                !may_have_taken_effect || scope == DeduplicationScope::AllEndpoints
            }
            DeliverySemantics::AtMostOnce => !may_have_taken_effect,
        };
        if is_repeatable || matches!(answer, Action::Fail { .. }) {
            Ok(())
        } else {
            Err("the message is rejected though it may have taken effect".into())
        }
    }

    /// Rule: the number of calls in flight does not exceed the number of permits. Messages that are
    /// sent together in a batch are one call.
    pub fn check_permits(&self, messages: &MessageTable) -> CheckResult {
        let calls = if self.has_batches() {
            let calls: BTreeSet<(EndpointId, Micros)> = messages
                .attempts_in_flight()
                .map(|attempt| (attempt.endpoint, attempt.sent_at))
                .collect();
            calls.len()
        } else {
            messages.attempts_in_flight().count()
        };
        let permits = self.config.concurrency_limit;
        if calls <= permits as usize {
            Ok(())
        } else {
            Err(format!("{calls} calls in flight exceed {permits} permits"))
        }
    }

    /// Rule: every message gets its final answer by its deadline plus `answer_slack`.
    pub fn check_deadlines(&self, now: Micros, messages: &MessageTable) -> CheckResult {
        let slack = self.config.rules.answer_slack;
        let mut pending = messages.all().filter(|message| !message.completed);
        match pending.find(|message| message.deadline + slack < now) {
            Some(overdue) => Err(format!("no final answer at {now}: {overdue:?}")),
            None => Ok(()),
        }
    }
}
