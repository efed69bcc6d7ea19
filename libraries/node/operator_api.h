#ifndef BORAGELOFT_NODE_OPERATOR_API_H_
#define BORAGELOFT_NODE_OPERATOR_API_H_

#include <map>
#include <string>

#include "libraries/control_rpc/control_rpc.h"
#include "libraries/node/dissemination_table.h"
#include "libraries/node/group_client.h"
#include "libraries/node/membership_table.h"
#include "libraries/node/node_services.h"
#include "libraries/node/note_control.h"
#include "libraries/node/note_table.h"
#include "libraries/node/upstream_gate.h"

namespace borageloft::node {

/** Carries out the operator's calls to this node. */
class OperatorApi {
 public:
  /** What the calls are carried out on. */
  struct Parts {
    NoteTable& notes;
    GroupClient& note_client;         // Reaches the group of release notes.
    const NoteControl* note_control;  // Null on a node that is no control host.
    DisseminationTable& dissemination;
    MembershipTable& members;
    UpstreamGate& gate;
  };

  OperatorApi(const NodeServices& services, const Parts& parts);

  /** @return The methods by name, for the RPC server. */
  std::map<std::string, control_rpc::RpcMethod> Methods();

 private:
  Json::Value CheckNote(const Json::Value& parameters) const;
  Json::Value SubmitNote(const Json::Value& parameters);
  Json::Value ShowNote(const Json::Value& parameters) const;
  Json::Value History() const;
  Json::Value Status() const;
  void AddControlStatus(Json::Value& status) const;
  Json::Value Upstreams(const Json::Value& parameters) const;
  Json::Value Drain();
  Json::Value EndDrain();

  const NodeServices& services_;
  NoteTable& notes_;
  GroupClient& note_client_;
  const NoteControl* note_control_;
  DisseminationTable& dissemination_;
  MembershipTable& members_;
  UpstreamGate& gate_;
};

}  // namespace borageloft::node

#endif  // BORAGELOFT_NODE_OPERATOR_API_H_
