#include "process/storageerror.h"

#include <system_error>

namespace cassiaroad {

std::string StorageError::toString() const
{
    return this->operation + " " + this->file + ": "
           + std::generic_category().message(this->errorNumber);
}

std::string Corruption::toString() const
{
    return this->file + " at byte " + std::to_string(this->offset) + ": " + this->reason;
}

} // namespace cassiaroad
