//! A forwarder with a deliberate fault: the real core with altered events or actions.

use super::{ForwarderVariant, Subject};
use opalpulley::{
    Action, Config, DeliverySemantics, EndpointEntry, EndpointId, EndpointListUpdate,
    EndpointStatus, Event, Forwarder, MessageId, Micros, Outcome, Submission,
};
use std::collections::{BTreeMap, BTreeSet};

/// `LosesMessages` drops one final answer in this many.
const LOST_ANSWER_INTERVAL: u64 = 10;

/// The real core with the changes of one variant.
pub(super) struct BrokenForwarder {
    variant: ForwarderVariant,
    core: Forwarder,
    semantics: Vec<DeliverySemantics>,
    /// Messages of at-most-once classes, for `ResendsAtMostOnce`. A message is removed when the core fails or rejects it; a
    /// delivered one is kept.
    at_most_once_messages: BTreeSet<MessageId>,
    /// Endpoints that the core knows to be ready, for `SendsAfterDrain`.
    ready_endpoints: BTreeMap<EndpointId, EndpointEntry>,
    /// Number of final answers of the core so far.
    final_answer_count: u64,
}

impl BrokenForwarder {
    /// Creates a forwarder of this variant with a new core.
    pub fn new(variant: ForwarderVariant, config: Config, seed: u64) -> BrokenForwarder {
        let classes = config.classes.iter();
        BrokenForwarder {
            variant,
            semantics: classes.map(|class| class.semantics).collect(),
            core: Forwarder::new(config, seed),
            at_most_once_messages: BTreeSet::new(),
            ready_endpoints: BTreeMap::new(),
            final_answer_count: 0,
        }
    }

    /// Returns the event that the core handles in place of `event`.
    fn alter_event(&mut self, event: Event) -> Event {
        match event {
            Event::MessageSubmitted(message) => {
                Event::MessageSubmitted(self.alter_message(message))
            }
            Event::AttemptEnded {
                id,
                attempt_index,
                endpoint,
                outcome,
                elapsed,
                message_completed,
                load_metrics,
            } => Event::AttemptEnded {
                id,
                attempt_index,
                endpoint,
                outcome: self.alter_outcome(id, outcome),
                elapsed,
                message_completed,
                load_metrics,
            },
            Event::EndpointListUpdated(update)
                if self.variant == ForwarderVariant::SendsAfterDrain =>
            {
                Event::EndpointListUpdated(self.without_drains(update))
            }
            other => other,
        }
    }

    fn alter_message(&mut self, mut message: Submission) -> Submission {
        match self.variant {
            ForwarderVariant::IgnoresOrder => message.order_key = None,
            ForwarderVariant::ResendsAtMostOnce => {
                let semantics = self.semantics.get(usize::from(message.class.0));
                if semantics == Some(&DeliverySemantics::AtMostOnce) {
                    self.at_most_once_messages.insert(message.id);
                }
            }
            _ => {}
        }
        message
    }

    fn alter_outcome(&self, id: MessageId, outcome: Outcome) -> Outcome {
        match (self.variant, outcome) {
            (ForwarderVariant::ResendsAtMostOnce, outcome) => {
                let effect_is_unknown =
                    outcome != Outcome::Delivered && outcome.may_have_taken_effect();
                if effect_is_unknown && self.at_most_once_messages.contains(&id) {
                    return Outcome::Rejected { retry_after: None };
                }
                outcome
            }
            (ForwarderVariant::IgnoresRetryAfter, Outcome::Rejected { .. }) => Outcome::Error,
            (
                ForwarderVariant::SkipsSlowStart,
                Outcome::NoConnection | Outcome::Rejected { retry_after: None },
            ) => Outcome::NotAttempted { no_permit: false },
            (_, outcome) => outcome,
        }
    }

    /// Returns the list update without entries that drain or remove a known endpoint.
    fn without_drains(&mut self, update: EndpointListUpdate) -> EndpointListUpdate {
        match update {
            EndpointListUpdate::Changes(mut entries) => {
                entries.retain(|entry| {
                    entry.status == EndpointStatus::Ready
                        || !self.ready_endpoints.contains_key(&entry.endpoint)
                });
                self.record_ready(&entries);
                EndpointListUpdate::Changes(entries)
            }
            EndpointListUpdate::Cached(entries) | EndpointListUpdate::Complete(entries) => {
                self.record_ready(&entries);
                EndpointListUpdate::Complete(self.ready_endpoints.values().cloned().collect())
            }
            EndpointListUpdate::Failed => EndpointListUpdate::Failed,
        }
    }

    fn record_ready(&mut self, entries: &[EndpointEntry]) {
        for entry in entries {
            self.ready_endpoints.insert(entry.endpoint, entry.clone());
        }
    }

    /// Appends an action of the core once, twice or not at all, depending on the variant.
    fn forward_action(&mut self, action: Action, actions: &mut Vec<Action>) {
        let answered = match &action {
            Action::Fail { id } | Action::Reject { id, .. } => Some(*id),
            _ => None,
        };
        if let Some(id) = answered {
            self.final_answer_count += 1;
            self.at_most_once_messages.remove(&id);
        }
        let is_send = matches!(action, Action::StartAttempt { .. });
        let is_withdrawal = matches!(action, Action::WithdrawUnsent { .. });
        let copies = match self.variant {
            ForwarderVariant::SecondAnswer if answered.is_some() => 2,
            ForwarderVariant::SendsTwice if is_send => 2,
            ForwarderVariant::WithdrawsNothing if is_withdrawal => 0,
            ForwarderVariant::LosesMessages
                if answered.is_some()
                    && self.final_answer_count.is_multiple_of(LOST_ANSWER_INTERVAL) =>
            {
                0
            }
            _ => 1,
        };
        for _ in 0..copies {
            actions.push(action.clone());
        }
    }
}

impl Subject for BrokenForwarder {
    fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        let delivered = delivered_message(&event);
        let event = self.alter_event(event);
        let mut core_actions = Vec::new();
        self.core.handle(now, event, &mut core_actions);
        for action in core_actions {
            self.forward_action(action, actions);
        }
        if self.variant != ForwarderVariant::SendsAfterEnd {
            return;
        }
        if let Some((id, endpoint)) = delivered {
            actions.push(Action::StartAttempt {
                id,
                endpoint,
                timeout: None,
                send_by: Micros::MAX,
            });
        }
    }
}

/// Returns the message whose delivery an event reports, and its endpoint.
fn delivered_message(event: &Event) -> Option<(MessageId, EndpointId)> {
    match event {
        Event::AttemptEnded {
            id,
            endpoint,
            outcome: Outcome::Delivered,
            ..
        } => Some((*id, *endpoint)),
        _ => None,
    }
}
