//! ibisweir places work on VMs, routes every request to a worker of the right pool, and drains and
//! maintains VMs in waves, without a store or a coordinator of its own.
//!
//! [`decide`] holds every decision as plain values; the other modules connect it to callers,
//! workers, peers and the platform. [`controller::EntryController::open`] brings up one entry.

pub mod admin;
pub mod clock;
pub mod compare;
pub mod connection;
pub mod control;
pub mod controller;
pub mod decide;
pub mod document;
pub mod error;
pub mod follower;
pub mod forward;
pub mod gate;
pub mod gossip;
pub mod held_answer;
pub mod held_body;
pub mod intake;
pub mod jobs;
pub mod keyring;
pub mod keys;
pub mod listener;
pub mod logging;
pub mod member;
pub mod membership;
pub mod metrics;
pub mod name;
pub mod odd_entries;
pub mod peer;
pub mod platform;
#[path = "../platform/mod.rs"]
pub mod platform_adapter;
pub mod progress;
pub mod publisher;
pub mod quota;
pub mod request;
pub mod router;
pub mod scheduler;
pub mod settings;
pub mod steward;
pub mod traffic;
pub mod transport;
pub mod view;
pub mod worker;
