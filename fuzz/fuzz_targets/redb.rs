#![no_main]

garnetdoor_fuzz::target!("redb");
