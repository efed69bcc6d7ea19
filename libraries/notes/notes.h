#ifndef BORAGELOFT_NOTES_NOTES_H_
#define BORAGELOFT_NOTES_NOTES_H_

/** @file Public header of the notes library: release notes and the policy they build. */

#include "libraries/notes/path_pattern.h"
#include "libraries/notes/policy.h"
#include "libraries/notes/release_note.h"

#endif  // BORAGELOFT_NOTES_NOTES_H_
