//! Bounds the memory of the submission bodies that are being received, which the number of connections alone does not
//! bound within the memory limit.

use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Length up to which a body needs no part of the budget, in bytes. Usual messages are shorter, so that clients with long
/// bodies cannot displace them.
const SHORT_BODY_BYTES: usize = 4096;

/// The memory for submission bodies that are longer than [`SHORT_BODY_BYTES`]. All client connections share it.
pub struct BodyBudget {
    /// One permit per byte.
    available_bytes: Arc<Semaphore>,
}

/// The part of the budget that one body takes. Dropping it returns the part.
pub struct BodyReservation {
    _bytes: Option<OwnedSemaphorePermit>,
}

impl BodyBudget {
    /// Creates a budget, in bytes. A larger one than a semaphore can count is cut to that.
    pub fn new(bytes: usize) -> BodyBudget {
        BodyBudget {
            available_bytes: Arc::new(Semaphore::new(bytes.min(Semaphore::MAX_PERMITS))),
        }
    }

    /// Reserves memory for a body of this length, in bytes. Returns `None` if too little is left.
    pub fn reserve(&self, length: usize) -> Option<BodyReservation> {
        if length <= SHORT_BODY_BYTES {
            return Some(BodyReservation { _bytes: None });
        }
        let length = u32::try_from(length).ok()?;
        let bytes = self.available_bytes.clone().try_acquire_many_owned(length);
        let bytes = bytes.ok()?;
        Some(BodyReservation {
            _bytes: Some(bytes),
        })
    }
}
