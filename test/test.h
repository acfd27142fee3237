/* test: what the files of the test program share. */
#ifndef SP_TEST_H
#define SP_TEST_H

/* unit.c: CUnit; returns the exit status */
int run_units(void);

#endif
