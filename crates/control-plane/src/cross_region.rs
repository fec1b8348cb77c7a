//! Messages of changes of all regions, between the leaders of the regions. What is sent, logged and answered is decided
//! by [`badgerramp_policy::regions`].

mod client;
mod server;

pub(crate) use client::CrossRegionClient;
pub(crate) use server::CrossRegionServer;
