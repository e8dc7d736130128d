#ifndef TRANSPORT_MACHINE_MACHINE_H_
#define TRANSPORT_MACHINE_MACHINE_H_

#include <cstddef>

#include "coordination/client_budget/client_budget.h"

// The machine that the process runs on.
namespace wagtailshore::machine {

// Memory of the machine in bytes.
size_t MemoryBytes();
// Number of descriptors that the process may have open.
size_t MaxDescriptors();

// The limits of the machine, lowered to those given; 0 stands for none.
client_budget::MachineLimits LimitsWithin(size_t memory_bytes,
                                          size_t max_sockets);

// Makes the allocator return freed memory to the machine: large blocks at once,
// as they get mappings of their own, and few arenas for threads. Must be called
// before any thread starts.
void ConfigureAllocator();

// Gives memory back that the allocator keeps: blocks that were freed between
// others that are in use. Takes some milliseconds.
void ReturnFreedMemory();

}  // namespace wagtailshore::machine

#endif  // TRANSPORT_MACHINE_MACHINE_H_
