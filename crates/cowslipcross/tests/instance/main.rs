//! End-to-end tests of instances that run as processes on loopback.

mod body_memory;
mod crashing_requests;
mod cut_off;
mod cut_responses;
mod deployment;
mod ends_of_owners;
mod faulty_targets;
mod late_copies;
mod limited_targets;
mod odd_reports;
mod odd_statuses;
mod operators;
mod organisations;
mod requests;
mod restoration;
mod shutdown;
mod slow_store;
mod store_clock;
