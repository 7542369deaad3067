//! What follows a failed accept. Linux passes errors of the connection at the head of the backlog on as errors of accept, which
//! concern no other connection; only the want of a resource concerns all of them.

use std::io;

/// Errors of accept in a row after which a pause follows, whatever the errors are. Keeps an error that does not end from taking
/// all processor time.
const MAX_ERRORS_IN_A_ROW: u32 = 64;

/// The errors of accept for want of a resource: too many open files in the system, in the process, no memory for buffers, and
/// no memory. The numbers are those of Linux on x86-64 and arm64.
const RESOURCE_ERRORS: [i32; 4] = [23, 24, 105, 12];

/// What follows a failed accept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterError {
    /// The next connection is accepted at once.
    AcceptNext,
    /// No connection is accepted for a while.
    Pause,
}

/// Counts the errors of accept since the last connection. Owned by the listener.
#[derive(Debug, Default)]
pub struct AcceptErrors {
    errors_in_a_row: u32,
}

impl AcceptErrors {
    /// Returns what follows an error of accept.
    pub fn after(&mut self, error: &io::Error) -> AfterError {
        self.errors_in_a_row += 1;
        let wants_resource = error
            .raw_os_error()
            .is_some_and(|number| RESOURCE_ERRORS.contains(&number));
        if wants_resource || self.errors_in_a_row >= MAX_ERRORS_IN_A_ROW {
            self.errors_in_a_row = 0;
            return AfterError::Pause;
        }
        AfterError::AcceptNext
    }

    /// Forgets the errors, after a connection was accepted.
    pub fn reset(&mut self) {
        self.errors_in_a_row = 0;
    }
}

#[cfg(test)]
mod tests;
