//! The rules by which the dispatcher decides, one file a rule.
//!
//! Each file states its rule, holds the constants of the rule, and works on plain values: no I/O
//! and no clock. The state machines of the forwarder, its destinations and its endpoints call these
//! rules and hold no threshold of their own.

pub(crate) mod gossip;
pub(crate) mod list_polling;
