//! The forwarder: takes events in, keeps the tables of all parts, and gives actions out.
//!
//! [`Forwarder::handle`] is the whole interface. It applies one event (`events`), lets the parts
//! exchange messages until none is left (`mailbox`), hands out permits (`scheduler`), and
//! summarises destinations out of use (`idle_destinations`). The same configuration, seed and
//! events give the same actions.

pub(crate) mod context;
mod endpoint_list;
mod events;
mod idle_destinations;
pub(crate) mod mailbox;
mod scheduler;
mod submissions;

use crate::destination::Destination;
use crate::endpoint::Endpoint;
use crate::idle::{IdleTable, StateCounts};
use crate::latency::LatencyEstimator;
use crate::model::{
    Action, Config, DeliveryClassConfig, DestinationId, EndpointId, Event, MessageId, Micros,
    OrderKey, TimerToken,
};
use crate::policy::admission::TenantQuotas;
use crate::policy::connection_reuse::ConnectionScarcity;
use crate::policy::gossip::Gossip;
use crate::policy::list_polling::ListPoller;
use crate::policy::ordering::OrderedQueues;
use crate::policy::TIMER_INTERVAL;
use context::DecisionContext;
use mailbox::{Activity, Candidate, Mailboxes};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// The timer that looks at all timers of the parts.
const TICK_TIMER: TimerToken = TimerToken(0);

/// Where a message is.
struct MessageLocation {
    destination: DestinationId,
    /// What it keeps its order by.
    order_key: Option<OrderKey>,
}

/// The tables of the parts.
struct PartTables<'a> {
    destinations: &'a mut BTreeMap<DestinationId, Destination>,
    endpoints: &'a mut BTreeMap<EndpointId, Endpoint>,
}

/// One forwarder: every decision on messages, destinations and endpoints.
pub struct Forwarder {
    config: Config,
    rng: Pcg64Mcg,
    mailboxes: Mailboxes,
    /// Messages without a final answer, or with an attempt out.
    messages: BTreeMap<MessageId, MessageLocation>,
    /// Emptied of those without endpoints, messages and pauses.
    destinations: BTreeMap<DestinationId, Destination>,
    /// Emptied of those that left the list for the warm-up time and are idle.
    endpoints: BTreeMap<EndpointId, Endpoint>,
    ordered_queues: OrderedQueues,
    tenant_quotas: TenantQuotas,
    /// Only destinations where something is under way: the work follows these.
    activities: BTreeMap<DestinationId, Activity>,
    /// Claims to permits, within a scheduling round.
    candidates: Vec<Candidate>,
    /// When the next tick is due.
    next_tick_at: Option<Micros>,
    /// Nothing is sent before, after the process stood still.
    sends_paused_until: Micros,
    list_poller: ListPoller,
    gossip: Gossip,
    connection_scarcity: ConnectionScarcity,
    /// Latency over all endpoints.
    overall_latency: LatencyEstimator,
    idle: IdleTable,
}

impl Forwarder {
    /// A forwarder without messages, destinations and endpoints.
    pub fn new(mut config: Config, seed: u64) -> Forwarder {
        let classes = config.classes.len().max(1);
        config
            .classes
            .resize_with(classes, DeliveryClassConfig::default);
        Forwarder {
            rng: Pcg64Mcg::seed_from_u64(seed),
            mailboxes: Mailboxes::default(),
            messages: BTreeMap::new(),
            destinations: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            ordered_queues: OrderedQueues::default(),
            tenant_quotas: TenantQuotas::new(config.tenants.len()),
            activities: BTreeMap::new(),
            candidates: Vec::new(),
            next_tick_at: None,
            sends_paused_until: 0,
            list_poller: ListPoller::default(),
            gossip: Gossip::default(),
            connection_scarcity: ConnectionScarcity::default(),
            overall_latency: LatencyEstimator::default(),
            idle: IdleTable::default(),
            config,
        }
    }

    /// Handles one event and adds what is to be done, in order, to `actions`.
    ///
    /// `now` must not run backwards.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.detect_stall(now);
        self.list_poller
            .handle(now, &event, &self.config, &mut self.rng, actions);
        self.restore_destination_of_event(now, &event);
        let max_summaries = crate::idle::max_summaries_after(&event);
        self.apply_event(now, event, actions);
        self.drain_mailboxes(now, actions);
        self.run_scheduling_rounds(now, actions);
        self.summarise_idle_destinations(now, max_summaries);
        self.schedule_tick(now, actions);
    }

    /// After the process stood still it sends nothing until it has read what happened meanwhile:
    /// an endpoint may have begun to drain.
    fn detect_stall(&mut self, now: Micros) {
        let tolerance = self.config.rules.drain_grace / 2;
        if self.next_tick_at.is_some_and(|due| now > due + tolerance) {
            self.next_tick_at = Some(now);
            self.sends_paused_until = now + TIMER_INTERVAL;
        }
    }

    /// Sets the timer for the next tick, while there is something to look at.
    fn schedule_tick(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let needs_no_tick = self.activities.is_empty() && self.ordered_queues.is_empty();
        if self.next_tick_at.is_some() || needs_no_tick {
            return;
        }
        let delay = TIMER_INTERVAL.max(self.config.min_tick_interval);
        self.next_tick_at = Some(now + delay);
        actions.push(Action::SetTimer {
            delay,
            token: TICK_TIMER,
        });
    }

    /// Lets the parts handle their messages until all mailboxes are empty. Endpoints go first,
    /// then destinations, then the forwarder itself.
    fn drain_mailboxes(&mut self, now: Micros, actions: &mut Vec<Action>) {
        loop {
            if let Some((id, event)) = self.mailboxes.endpoints.pop_front() {
                let (tables, mut context) = self.split_state(now);
                if let Some(endpoint) = tables.endpoints.get_mut(&id) {
                    endpoint.handle(event, &mut context);
                }
            } else if let Some((id, event)) = self.mailboxes.destinations.pop_front() {
                let (tables, mut context) = self.split_state(now);
                if let Some(destination) = tables.destinations.get_mut(&id) {
                    destination.handle(event, &mut context);
                }
            } else if let Some(event) = self.mailboxes.forwarder.pop_front() {
                self.handle_forwarder_event(now, event, actions);
            } else {
                return;
            }
        }
    }

    /// The tables of the parts, and beside them what the parts see of the forwarder.
    fn split_state(&mut self, now: Micros) -> (PartTables<'_>, DecisionContext<'_>) {
        let tables = PartTables {
            destinations: &mut self.destinations,
            endpoints: &mut self.endpoints,
        };
        let context = DecisionContext {
            now,
            config: &self.config,
            rng: &mut self.rng,
            mailboxes: &mut self.mailboxes,
            are_connections_scarce: self.connection_scarcity.is_scarce(),
            overall_latency: &self.overall_latency,
        };
        (tables, context)
    }

    /// How many destinations and endpoints are held in full and as summaries.
    pub fn state_counts(&self) -> StateCounts {
        self.idle.counts(self.destinations.len())
    }
}
