//! Tests of what follows a failed accept.

use super::*;

/// ECONNABORTED, EPROTO, EHOSTUNREACH, ENETUNREACH, EPERM and EINTR.
const CONNECTION_ERRORS: [i32; 6] = [103, 71, 113, 101, 1, 4];

#[test]
fn accepts_next_connection_after_error_of_one_connection() {
    for number in CONNECTION_ERRORS {
        let error = io::Error::from_raw_os_error(number);
        assert_eq!(
            AcceptErrors::default().after(&error),
            AfterError::AcceptNext,
            "{error}"
        );
    }
}

#[test]
fn pauses_for_want_of_a_resource() {
    for number in RESOURCE_ERRORS {
        let error = io::Error::from_raw_os_error(number);
        assert_eq!(
            AcceptErrors::default().after(&error),
            AfterError::Pause,
            "{error}"
        );
    }
}

/// Guards against a listener that takes all processor time while each accept fails.
#[test]
fn pauses_after_many_errors_in_a_row() {
    let mut errors = AcceptErrors::default();
    let error = io::Error::from_raw_os_error(CONNECTION_ERRORS[0]);
    let mut pauses = 0;
    for _ in 0..10 * MAX_ERRORS_IN_A_ROW {
        pauses += u32::from(errors.after(&error) == AfterError::Pause);
    }
    assert_eq!(pauses, 10);
    errors.after(&error);
    errors.reset();
    for _ in 1..MAX_ERRORS_IN_A_ROW {
        assert_eq!(errors.after(&error), AfterError::AcceptNext);
    }
}
