//! Faults of receivers that are in force.

use super::endpoint::Endpoint;
use super::ReceiverReply;
use crate::scenario::FaultKind;
use opalpulley::Micros;
use std::collections::BTreeMap;

/// From this rate of errors on, a fault counts as an outage.
const OUTAGE_ERROR_RATE: f64 = 0.5;

/// A fault that is in force.
pub(super) struct ActiveFault {
    pub kind: FaultKind,
    pub starts_at: Micros,
    pub ends_at: Micros,
}

impl ActiveFault {
    /// Whether connections are refused now.
    pub fn refuses(&self, now: Micros) -> bool {
        match self.kind {
            FaultKind::Refusing => true,
            FaultKind::Flapping { down, up } => (now - self.starts_at) % (down.0 + up.0) < down.0,
            _ => false,
        }
    }

    /// The part of its capacity that an endpoint with this fault has.
    pub fn capacity_left(&self) -> f64 {
        match self.kind {
            FaultKind::Brownout { capacity_left } => capacity_left,
            _ => 1.0,
        }
    }
}

/// Whether an endpoint that had this fault warms up afterwards.
pub(super) fn is_outage(kind: &FaultKind) -> bool {
    match kind {
        FaultKind::Refusing | FaultKind::Silent | FaultKind::Shut => true,
        FaultKind::Erring { rate } => *rate >= OUTAGE_ERROR_RATE,
        _ => false,
    }
}

/// The faults that are in force, by their place in the scenario.
#[derive(Default)]
pub(super) struct ActiveFaults {
    by_index: BTreeMap<usize, ActiveFault>,
}

impl ActiveFaults {
    /// A fault begins.
    pub fn insert(&mut self, fault_index: usize, fault: ActiveFault) {
        self.by_index.insert(fault_index, fault);
    }

    /// A fault is over.
    pub fn remove(&mut self, fault_index: usize) {
        self.by_index.remove(&fault_index);
    }

    /// The faults of an endpoint, in the order in which they struck it.
    pub fn affecting<'a, 'e>(
        &'a self,
        endpoint: &'e Endpoint,
    ) -> impl Iterator<Item = &'a ActiveFault> + use<'a, 'e> {
        let fault_indices = endpoint.faults.iter();
        fault_indices.filter_map(|index| self.by_index.get(index))
    }

    /// Whether an endpoint has an outage.
    pub fn has_outage(&self, endpoint: &Endpoint) -> bool {
        self.affecting(endpoint).any(|fault| is_outage(&fault.kind))
    }

    /// The part of its 429 answers that an endpoint breaks off.
    pub fn truncation_rate(&self, endpoint: &Endpoint) -> Option<f64> {
        self.affecting(endpoint).find_map(|fault| match fault.kind {
            FaultKind::RefusalsTruncated { rate } => Some(rate),
            _ => None,
        })
    }

    /// What an endpoint that takes connections answers to a health check.
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
