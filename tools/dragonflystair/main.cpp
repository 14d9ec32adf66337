#include <cstdio>

int main() {
    std::puts("dragonflystair " DRAGONFLYSTAIR_VERSION);
    return 0;
}
