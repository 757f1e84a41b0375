//! One command with which a newcomer sees the main job.
