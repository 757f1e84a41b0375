//! What a ticket is, and whether its group has room for it, without I/O.
//!
//! [`rules`] is an ordered set of rules over the expression language: the first that holds says a ticket's profile, key,
//! party, agreed time and limit group. [`groups`] are limits by rate and by how many are under way, for all or by key,
//! with bounded memory. [`pools`] are named parts of the server list with ways down between them. Which server a ticket goes to stays `garnetdoor::balance`'s to decide.

pub mod groups;
pub mod pools;
pub mod rules;
