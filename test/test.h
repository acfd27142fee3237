/* test: what the files of the test program share. */
#ifndef SP_TEST_H
#define SP_TEST_H

/* unit.c: CUnit; returns the exit status */
int run_units(void);
/* script.c: a scenario file; returns the exit status */
int run_script(const char *file);
/* soak.c: random schedules; returns the exit status */
int run_soak(int argc, char **argv);

#endif
