#pragma once

#include "part.h"

namespace dragonflystair::stand_ins {

/// Factories of the kinds of stand-in; each is defined in a file NAME_part.cpp.
std::shared_ptr<part> make_log(const asio::any_io_executor& context, section& settings);
std::shared_ptr<part> make_store(const asio::any_io_executor& context, section& settings);
std::shared_ptr<part> make_vm_list(const asio::any_io_executor& context, section& settings);
std::shared_ptr<part> make_engine(const asio::any_io_executor& context, section& settings);
std::shared_ptr<part> make_plain(const asio::any_io_executor& context, section& settings);

} // namespace dragonflystair::stand_ins
