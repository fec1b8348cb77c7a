//! Control plane of the policy: a replicated service that determines which generation of the policy is in force, grants
//! leases to the proxies that serve under it, and carries out changes from one generation to the next.
//!
//! This crate implements one replica: consensus between the replicas (Raft, provided by [`openraft`]), the [`store`] for
//! its log and snapshots, its [`settings`], and the gRPC [`server`]. [`badgerramp_policy`] defines the rules for leases
//! and changes, and [`badgerramp_control_protocol`] the messages. A replica never forwards calls, and never decides on a
//! lease or a change without having confirmed that it leads.
//!
//! ```no_run
//! use badgerramp_control_plane::server;
//! use badgerramp_control_plane::settings::Settings;
//! use badgerramp_control_plane::store::Store;
//!
//! # async fn example() -> Result<(), Box<dyn std::error::Error>> {
//! let settings = Settings::load("replica-1.toml".as_ref())?;
//! if !settings.store.exists() {
//!     Store::create(&settings.store, settings.replica)?;
//! }
//! server::run(settings, std::future::pending()).await?;
//! # Ok(())
//! # }
//! ```
#![forbid(unsafe_code)]

mod check;
pub mod cli;
mod cross_region;
mod decommission;
mod fallback;
mod leader;
mod network;
mod progress;
mod rejections;
pub mod server;
pub mod settings;
mod status;
pub mod store;
