#include <stdio.h>

int main(void)
{
	fprintf(stderr, "usage: tanagertrestle command [arg ...]\n");
	return 2;
}
