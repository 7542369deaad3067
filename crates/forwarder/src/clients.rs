//! The server side of the forwarder towards its clients: the listener, the client connections, and the tower service
//! that answers the requests on them.

mod accept_errors;
mod body_budget;
mod client_stream;
mod connection;
mod connection_state;
mod listener;
mod open_connections;
mod submission_service;

pub use listener::ClientListener;
pub use submission_service::SubmissionService;

#[cfg(test)]
mod golden_tests;
#[cfg(test)]
mod tests;
