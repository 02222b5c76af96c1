#include "bamboowing/intent/schema.h"

#include "embedded.h"

namespace bamboowing {

std::string_view IntentSchemaText() { return embedded::kSchemaFiles[0].second; }

}  // namespace bamboowing
