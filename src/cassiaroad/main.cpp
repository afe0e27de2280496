#include <cstdio>

int main()
{
    std::printf("cassiaroad %s\n", CASSIAROAD_VERSION);
    return 0;
}
