//! The active faults of receivers.

use super::endpoint::Endpoint;
use super::ReceiverReply;
use crate::scenario::FaultKind;
use opalpulley::Micros;
use std::collections::BTreeMap;

/// Error rate from which on a fault counts as an outage.
const OUTAGE_ERROR_RATE: f64 = 0.5;

/// An active fault, with its start and end in µs.
pub(super) struct ActiveFault {
    pub kind: FaultKind,
    pub starts_at: Micros,
    pub ends_at: Micros,
}

impl ActiveFault {
    /// Whether the fault makes an endpoint refuse connections at `now`.
    pub fn refuses(&self, now: Micros) -> bool {
        match self.kind {
            FaultKind::Refusing => true,
            FaultKind::Flapping { down, up } => (now - self.starts_at) % (down.0 + up.0) < down.0,
            _ => false,
        }
    }

    /// Returns the share of its capacity that the fault leaves to an endpoint.
    pub fn capacity_left(&self) -> f64 {
        match self.kind {
            FaultKind::Brownout { capacity_left } => capacity_left,
            _ => 1.0,
        }
    }
}

/// Whether a fault is an outage, after which an endpoint warms up.
pub(super) fn is_outage(kind: &FaultKind) -> bool {
    match kind {
        FaultKind::Refusing | FaultKind::Silent | FaultKind::Shut => true,
        FaultKind::Erring { rate } => *rate >= OUTAGE_ERROR_RATE,
        _ => false,
    }
}

/// The active faults of a run, by their index in the scenario.
#[derive(Default)]
pub(super) struct ActiveFaults {
    by_index: BTreeMap<usize, ActiveFault>,
}

impl ActiveFaults {
    /// Activates a fault. An active fault with the same index is replaced.
    pub fn insert(&mut self, fault_index: usize, fault: ActiveFault) {
        self.by_index.insert(fault_index, fault);
    }

    /// Ends a fault. Does nothing if it is not active.
    pub fn remove(&mut self, fault_index: usize) {
        self.by_index.remove(&fault_index);
    }

    /// Returns the active faults of an endpoint, in the order in which they began.
    pub fn affecting<'a, 'e>(
        &'a self,
        endpoint: &'e Endpoint,
    ) -> impl Iterator<Item = &'a ActiveFault> + use<'a, 'e> {
        let fault_indices = endpoint.faults.iter();
        fault_indices.filter_map(|index| self.by_index.get(index))
    }

    /// Whether any active fault of the endpoint is an outage.
    pub fn has_outage(&self, endpoint: &Endpoint) -> bool {
        self.affecting(endpoint).any(|fault| is_outage(&fault.kind))
    }

    /// Returns the share of its 429 responses that an endpoint truncates, if a fault does so.
    pub fn truncation_rate(&self, endpoint: &Endpoint) -> Option<f64> {
        self.affecting(endpoint).find_map(|fault| match fault.kind {
            FaultKind::RejectionsTruncated { rate } => Some(rate),
            _ => None,
        })
    }

    /// Returns the reply to a health check of an endpoint that accepts connections.
    pub fn health_check_reply(&self, endpoint: &Endpoint) -> ReceiverReply {
        let is_silent =
            |kind: &FaultKind| matches!(kind, FaultKind::Silent | FaultKind::HealthChecksFail);
        if self.affecting(endpoint).any(|fault| is_silent(&fault.kind)) {
            return ReceiverReply::Silent;
        }
        if self
            .affecting(endpoint)
            .any(|fault| fault.kind == FaultKind::Shut)
        {
            return ReceiverReply::Overloaded;
        }
        ReceiverReply::Served
    }
}
