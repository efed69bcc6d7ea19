#ifndef BORAGELOFT_MESH_PEER_ADDRESS_H_
#define BORAGELOFT_MESH_PEER_ADDRESS_H_

#include <string>
#include <vector>

#include "libraries/mesh/mesh_settings.h"
#include "libraries/transport/transport.h"

namespace borageloft::mesh {

/** @return Address at which other nodes reach this process, which is also the node's name. */
std::string NodeNameOf(const MeshSettings& settings);

/** @return Node names of the seeds: their IP addresses with the peer port that all nodes use. */
std::vector<std::string> SeedNodes(const MeshSettings& settings);

/** @return Address of the node named @p node; port 0 on loopback if the name is not an address. */
transport::PeerAddress PeerAddressOf(const std::string& node);

/** @return Transport options for the connections between nodes. */
transport::TransportOptions PeerOptions(const MeshSettings& settings);

}  // namespace borageloft::mesh

#endif  // BORAGELOFT_MESH_PEER_ADDRESS_H_
