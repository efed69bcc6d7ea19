#ifndef BORAGELOFT_CONTROL_MEMBER_CONTROL_MEMBER_H_
#define BORAGELOFT_CONTROL_MEMBER_CONTROL_MEMBER_H_

/** @file Public header of the control_member library: the replicated group of control hosts. */

#include "libraries/control_member/formation_message.h"
#include "libraries/control_member/member.h"

#endif  // BORAGELOFT_CONTROL_MEMBER_CONTROL_MEMBER_H_
