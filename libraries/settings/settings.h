#ifndef BORAGELOFT_SETTINGS_SETTINGS_H_
#define BORAGELOFT_SETTINGS_SETTINGS_H_

/** @file Public header of the settings library: INI documents, checked values, node settings. */

#include "libraries/settings/endpoint.h"
#include "libraries/settings/ini_document.h"
#include "libraries/settings/issue.h"
#include "libraries/settings/node_settings.h"
#include "libraries/settings/value_parser.h"

#endif  // BORAGELOFT_SETTINGS_SETTINGS_H_
