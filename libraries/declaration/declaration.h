#ifndef BORAGELOFT_DECLARATION_DECLARATION_H_
#define BORAGELOFT_DECLARATION_DECLARATION_H_

/** @file Public header of the declaration library: routes, and the replicated register of the
 * declaration in force.
 */

#include "libraries/declaration/client_account.h"
#include "libraries/declaration/declaration_changes.h"
#include "libraries/declaration/declaration_register.h"
#include "libraries/declaration/declaration_review.h"
#include "libraries/declaration/route_table.h"
#include "libraries/declaration/routes.h"

#endif  // BORAGELOFT_DECLARATION_DECLARATION_H_
