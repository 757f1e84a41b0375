#![no_main]

garnetdoor_fuzz::target!("modify");
