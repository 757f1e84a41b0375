//! Classifies requests and limits them by group, without I/O.
//!
//! [`rules`] is an ordered set of rules in the expression language of `garnetdoor-match`: the first one that holds
//! determines a request's profile, key, party, deadline and limit group. [`groups`] limits the rate and the concurrency of
//! a group, as a whole or for each key, in bounded memory. [`pools`] are named parts of the server list with fallbacks
//! between them. Which server a request goes to is decided by `garnetdoor::balance`.

pub mod groups;
pub mod pools;
pub mod rules;
