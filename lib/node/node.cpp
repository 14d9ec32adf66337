#include "dragonflystair/node/node.h"

#include "node_impl.h"

#include <utility>

namespace dragonflystair::node {

node::node(config::settings settings) : impl_(std::make_unique<impl>(std::move(settings))) {}
node::~node() = default;

int node::run() {
    return impl_->run();
}

} // namespace dragonflystair::node
