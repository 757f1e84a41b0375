//! The lazy file: the newest value comes back; a damaged one does not.

use transport::LatestValueFile;

#[test]
fn the_newest_note_comes_back_and_a_damaged_one_is_dropped() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("some");
    let (file, kept) = LatestValueFile::start(dir.path(), "some").unwrap();
    assert_eq!(kept, None);
    (0..=200).for_each(|no| file.store(vec![no; 3_000]));
    // It ends once the newest is there.
    file.stop();
    let (_, kept) = LatestValueFile::start(dir.path(), "some").unwrap();
    assert_eq!(kept, Some(vec![200; 3_000]));
    let whole = std::fs::read(&path).unwrap();
    for damaged in [&whole[..whole.len() - 1], &whole[..2], &[], &[&whole[..9], &[0], &whole[10..]].concat()]
    {
        std::fs::write(&path, damaged).unwrap();
        let (_, kept) = LatestValueFile::start(dir.path(), "some").unwrap();
        assert_eq!(kept, None);
    }
}
