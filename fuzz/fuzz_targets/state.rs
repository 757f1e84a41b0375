#![no_main]

garnetdoor_fuzz::target!("state");
