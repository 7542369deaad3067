//! The configuration of the decision core.

use super::Micros;

/// Delivery semantics of a message: whether an attempt at it may be repeated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DeliverySemantics {
    /// The message may take effect any number of times and is repeated freely.
    Idempotent,
    /// The message carries an idempotency key. The endpoints of the scope drop a repeat that starts within the window.
    IdempotencyKeyed {
        /// The endpoints that share their record of keys.
        scope: DeduplicationScope,
        /// Deduplication window in µs, from the start of the first attempt that may have taken effect.
        window: Micros,
    },
    /// The message must not take effect twice. It is not repeated once an attempt may have taken effect.
    #[default]
    AtMostOnce,
}

/// The set of endpoints that drop each other's repeats of an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All endpoints.
    AllEndpoints,
    /// The endpoints of the same zone.
    Zone,
    /// The endpoints of the same destination. The settings can name this scope (`cell`); no deployment does.
    Destination,
}

/// How the priority weight of a message decays after its latency objective has passed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PriorityDecay {
    /// Linearly, down to [`DeliveryClassConfig::late_weight_share`] at the deadline.
    #[default]
    Linear,
    /// By half with each further latency objective, down to [`DeliveryClassConfig::late_weight_share`] at least.
    Exponential,
}

/// Configuration of a delivery class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DeliveryClassConfig {
    /// Whether an attempt at a message may be repeated.
    pub semantics: DeliverySemantics,
    /// Latency objective in µs: a message that is delivered within it counts with its full weight.
    pub latency_objective: Micros,
    /// Time from the first submission of a message to its deadline, in µs.
    pub time_to_live: Micros,
    /// Weight of the delivery of a message, relative to other messages.
    pub priority_weight: f64,
    /// Lower bound on the share of the weight that a late delivery keeps, from 0 to 1.
    pub late_weight_share: f64,
    /// Whether messages of one order key are delivered one at a time, in the order of submission.
    pub ordered: bool,
}

/// Configuration of a tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantConfig {
    /// Quota in messages per second, for the whole fleet.
    pub quota: f64,
}

/// Configuration of a kind of endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointKindConfig {
    /// Whether each endpoint of a destination has its own limit, pace and outages. Otherwise the endpoints share
    /// them.
    pub has_independent_limits: bool,
    /// Upper bound on the number of messages in one call; 0 counts as 1.
    pub max_batch_size: u32,
}

/// How far the rates in the endpoint list can be trusted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListedRateAccuracy {
    /// The list contains no rates.
    #[default]
    Unlisted,
    /// The rates are those agreed with the destinations.
    Nominal,
    /// The rates may be too high or too low by half.
    Approximate,
}

/// Figures of the operators' service rules, which the forwarder must keep.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceRuleConfig {
    /// Upper bound on the time from the deadline of a message to its final answer, in µs.
    pub answer_slack: Micros,
    /// Time in µs after which nothing may be sent to an endpoint that drains or has left the list.
    pub drain_grace: Micros,
    /// Share of its capacity that a destination has as it returns from an outage, from 0 to 1.
    pub cold_capacity_share: f64,
    /// Time in µs from the return of a destination until it has its whole capacity.
    pub warm_up_time: Micros,
    /// The load at which a returning destination fails again, as a multiple of its current capacity.
    pub overload_multiple: f64,
    /// Time in µs for which a returning destination must be overloaded to fail again.
    pub overload_window: Micros,
    /// Pause in µs between an attempt with an unknown outcome and the next message of the same order key.
    pub order_settle_time: Micros,
}

/// The condition on which the next message of an order key may be sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OrderRelease {
    /// The core has given the final answer. Correct where the caller carries out the actions in their order.
    #[default]
    OnFinalAnswer,
    /// [`Event::FinalAnswerAcknowledged`](super::Event::FinalAnswerAcknowledged) has arrived. Needed where the final
    /// answer and the next call travel separately, so that the call could overtake the answer.
    OnAcknowledgement,
}

/// Configuration of the decision core. It is fixed while the forwarder runs, except that
/// [`Event::ShuttingDown`](super::Event::ShuttingDown) sets the concurrency limit to 0.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Number of this forwarder in the fleet, from 0.
    pub forwarder_id: u16,
    /// Number of forwarders in the fleet.
    pub fleet_size: u32,
    /// Upper bound on the number of calls in flight: the number of concurrency permits.
    pub concurrency_limit: u32,
    /// Upper bound on the number of messages that the forwarder holds.
    pub max_messages: u32,
    /// Upper bound on the number of attempts at a message, including those of previous runs.
    pub max_attempts: u32,
    /// The condition on which the next message of an order key may be sent.
    pub order_release: OrderRelease,
    /// Whether health checks may be sent.
    pub may_health_check: bool,
    /// Whether attempts in flight may be cancelled.
    pub may_cancel: bool,
    /// Whether a rejection may name a retry-after.
    pub may_send_retry_after: bool,
    /// Whether forwarders may send each other gossip.
    pub may_gossip: bool,
    /// Upper bound on the retry-after that clients honour, in µs.
    pub max_retry_after: Micros,
    /// How far the rates in the endpoint list can be trusted.
    pub listed_rate_accuracy: ListedRateAccuracy,
    /// How priority weights decay after the latency objective.
    pub priority_decay: PriorityDecay,
    /// Share of the weight that a message beyond its tenant's quota keeps.
    pub over_quota_weight_share: f64,
    /// The delivery classes, indexed by [`DeliveryClassId`](super::DeliveryClassId).
    pub classes: Vec<DeliveryClassConfig>,
    /// The tenants, indexed by [`TenantId`](super::TenantId).
    pub tenants: Vec<TenantConfig>,
    /// The kinds of endpoints, indexed by [`EndpointKindId`](super::EndpointKindId).
    pub endpoint_kinds: Vec<EndpointKindConfig>,
    /// Cost of a message to an endpoint with its own limit, for each zone; indexed by [`ZoneId`](super::ZoneId).
    pub zone_costs: Vec<f64>,
    /// Upper bound on the time between two polls of discovery, in µs. `None`: discovery pushes the list.
    pub list_poll_interval: Option<Micros>,
    /// Time in µs after which the service rules assume that a polling forwarder knows of a change of the list, whether
    /// it received the list or not; counted while discovery is reachable. `None`: only
    /// [`Config::list_poll_interval`] bounds the delay of a poll.
    pub list_notification_delay: Option<Micros>,
    /// The operators' service rules.
    pub rules: ServiceRuleConfig,
    /// Lower bound on the time between two ticks of the core's timers, in µs. Scheduling rounds run after every event,
    /// not at ticks.
    pub min_tick_interval: Micros,
    /// Number of destinations whose state is held in full; beyond it, idle destinations are summarised. `None`: the
    /// state of all destinations is always held in full.
    pub full_destinations: Option<u32>,
}

impl Config {
    /// Returns the shortest latency objective of all delivery classes, in µs; 0 without classes.
    pub fn shortest_latency_objective(&self) -> Micros {
        let objectives = self.classes.iter().map(|class| class.latency_objective);
        objectives.min().unwrap_or(0)
    }

    /// Returns the longest time to live of all delivery classes, in µs; 0 without classes.
    pub fn longest_time_to_live(&self) -> Micros {
        let times_to_live = self.classes.iter().map(|class| class.time_to_live);
        times_to_live.max().unwrap_or(0)
    }
}
